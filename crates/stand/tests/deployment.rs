//! The users' deployments have the sizes that the users gave.

use fulmargate_config::ConfigDocument;
use fulmargate_settings::RouterSettings;
use fulmargate_stand::EngineSettings;
use fulmargate_stand::deploy::AddressPlan;
use fulmargate_stand::deploy::DeploymentSettings;
use fulmargate_stand::deploy::write_settings;
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

/// What the processes are told is what they take: the routers' settings are parsed as files, the
/// stand-ins' are read back, the document passes the operators' check.
#[test]
fn settings_and_document_are_accepted() {
    for name in ["shop", "utility"] {
        let deployment = Deployment::named(name).unwrap();
        let addresses = AddressPlan::reserve(&deployment).unwrap();
        let settings = DeploymentSettings::new(&deployment, &addresses).unwrap();
        let document = ConfigDocument::from_value(&settings.document).unwrap();
        assert_eq!((document.servers.len(), document.teams.len()), (15, 8), "{name}");
        let engine = serde_json::to_string(&settings.engines[0]).unwrap();
        let engine: EngineSettings = fulmargate_settings::parse("engine", &engine).unwrap();
        assert_eq!(engine.neighbours.len(), 11);
    }
}

#[test]
fn each_process_gets_a_file() {
    let deployment = Deployment::shop();
    let addresses = AddressPlan::reserve(&deployment).unwrap();
    let settings = DeploymentSettings::new(&deployment, &addresses).unwrap();
    let folder = std::env::temp_dir().join(format!("fulmargate-stand-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let plans = write_settings(&settings, &folder).unwrap();
    let routers = plans.iter().filter(|plan| plan.program == "fulmargate-router");
    for router in routers.clone() {
        RouterSettings::load(&router.file).unwrap();
    }
    assert_eq!((plans.len(), routers.count()), (4 + 12 + 3 + 6, 6));
    std::fs::remove_dir_all(&folder).unwrap();
}
