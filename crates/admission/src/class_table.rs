//! From a request to its class.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use fulmargate_names::ModelName;
use fulmargate_names::TeamName;
use indexmap::IndexMap;

use crate::ClassConf;
use crate::ClassRule;

/// The classes and the operators' rules, indexed by team.
///
/// The first rule that matches wins. With a rule for each of 11,000 teams a walk over all rules
/// would cost more than the rest of a request's admission, so each team has its own short list.
#[derive(Debug)]
pub struct ClassTable {
    by_team: IndexMap<TeamName, Vec<TableRow>>,
    general: Vec<TableRow>,
    fallback: Arc<ClassConf>,
}

#[derive(Debug)]
struct TableRow {
    /// Place among the operators' rules: lower ones go first.
    place: usize,
    rule: ClassRule,
    class: Arc<ClassConf>,
}

/// A name that no class has.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("no class is named {name:?}")]
pub struct UnknownClass {
    /// The name.
    #[error(not(source))]
    pub name: Arc<str>,
}

impl ClassTable {
    /// Indexes the rules; requests that match none get the class `fallback`.
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
        for (place, rule) in rules.into_iter().enumerate() {
            let class = find(&rule.class)?;
            table.push(TableRow { place, rule, class });
        }
        Ok(table)
    }

    /// The class of a request: that of the first rule that matches.
    pub fn classify(
        &self,
        team: &TeamName,
        model: Option<&ModelName>,
        path: &str,
    ) -> &Arc<ClassConf> {
        let matches = |row: &&TableRow| row.rule.matches(model, path);
        let own = self.by_team.get(team).and_then(|rows| rows.iter().find(matches));
        let general = self.general.iter().find(matches);
        match (own, general) {
            (Some(own), Some(general)) if general.place < own.place => &general.class,
            (Some(row), _) | (None, Some(row)) => &row.class,
            (None, None) => &self.fallback,
        }
    }

    fn push(&mut self, row: TableRow) {
        match &row.rule.team {
            Some(team) => self.by_team.entry(team.clone()).or_default().push(row),
            None => self.general.push(row),
        }
    }
}
