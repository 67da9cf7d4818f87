//! Assigns requests to classes.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use fulmargate_names::ModelName;
use fulmargate_names::TeamName;
use indexmap::IndexMap;

use crate::ClassConf;
use crate::ClassRule;

/// Classification rules, indexed by team.
///
/// The first matching rule applies. The index avoids scanning the rules of all teams for each
/// request.
#[derive(Debug)]
pub struct ClassTable {
    by_team: IndexMap<TeamName, Vec<IndexedRule>>,
    general: Vec<IndexedRule>,
    fallback: Arc<ClassConf>,
}

#[derive(Debug)]
struct IndexedRule {
    /// Position in the list of rules; lower positions take precedence.
    position: usize,
    rule: ClassRule,
    class: Arc<ClassConf>,
}

/// Error for a rule or fallback that refers to a class that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("no class is named {name:?}")]
pub struct UnknownClass {
    /// Name of the missing class.
    #[error(not(source))]
    pub name: Arc<str>,
}

impl ClassTable {
    /// Builds the table. Requests that match no rule get the class `fallback`.
    pub fn new(
        classes: Vec<ClassConf>,
        rules: Vec<ClassRule>,
        fallback: &str,
    ) -> Result<ClassTable, UnknownClass> {
        let classes: IndexMap<Arc<str>, Arc<ClassConf>> =
            classes.into_iter().map(|class| (Arc::clone(&class.name), Arc::new(class))).collect();
        let find = |name: &str| match classes.get(name) {
            Some(class) => Ok(Arc::clone(class)),
            None => Err(UnknownClass { name: Arc::from(name) }),
        };
        let mut table =
            ClassTable { by_team: IndexMap::new(), general: Vec::new(), fallback: find(fallback)? };
        for (position, rule) in rules.into_iter().enumerate() {
            let class = find(&rule.class)?;
            table.push(IndexedRule { position, rule, class });
        }
        Ok(table)
    }

    /// The class assigned by the first matching rule.
    pub fn classify(
        &self,
        team: &TeamName,
        model: Option<&ModelName>,
        path: &str,
    ) -> &Arc<ClassConf> {
        let matches = |entry: &&IndexedRule| entry.rule.matches(model, path);
        let own = self.by_team.get(team).and_then(|entries| entries.iter().find(matches));
        let general = self.general.iter().find(matches);
        match (own, general) {
            (Some(own), Some(general)) if general.position < own.position => &general.class,
            (Some(entry), _) | (None, Some(entry)) => &entry.class,
            (None, None) => &self.fallback,
        }
    }

    fn push(&mut self, entry: IndexedRule) {
        match &entry.rule.team {
            Some(team) => self.by_team.entry(team.clone()).or_default().push(entry),
            None => self.general.push(entry),
        }
    }
}
