//! The users' deployments have the sizes that the users gave.

use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::deployment::TeamSize;
use indexmap::IndexMap;

fn check(deployment: &Deployment) {
    let name = deployment.name;
    assert_eq!(deployment.zones.len(), 3, "{name}");
    assert_eq!(deployment.hosts.len(), 6, "{name}");
    assert_eq!(deployment.engines.len(), 12, "{name}");
    assert_eq!(deployment.replicas.len(), 3, "{name}");
    assert_eq!(deployment.teams.len(), 8, "{name}");
    let large = deployment.teams.iter().filter(|team| team.size == TeamSize::Large).count();
    assert_eq!(large, 3, "{name}");
    let whole: f64 = deployment.teams.iter().map(|team| team.share).sum();
    assert!((whole - 1.0).abs() < 1e-9, "{name}: {whole}");

    let addresses: IndexMap<String, String> = deployment
        .engines
        .iter()
        .map(|engine| (engine.name.to_string(), "127.0.0.1:1".to_owned()))
        .collect();
    let document = deployment.config_document(&addresses);
    assert_eq!(document["servers"].as_object().unwrap().len(), 12, "no address, no server");
    assert_eq!(document["teams"].as_object().unwrap().len(), 8);
    for team in document["teams"].as_object().unwrap().values() {
        assert_eq!(team["key_sha256"][0].as_str().unwrap().len(), 64);
    }
    assert!(!document.to_string().contains("fk-"), "no key in the clear");
}

#[test]
fn sizes_and_document() {
    for name in ["shop", "utility"] {
        check(&Deployment::named(name).unwrap());
    }
    assert!(Deployment::named("other").is_none());
}
