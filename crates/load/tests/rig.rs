//! A short run through a whole deployment on loopback: stand-ins, routers and callers.

use std::rc::Rc;
use std::time::Duration;

use fulmargate_load::AnswerFault;
use fulmargate_load::CallTarget;
use fulmargate_load::LoadRun;
use fulmargate_load::ReportScope;
use fulmargate_load::Rig;
use fulmargate_load::RunLimits;
use fulmargate_load::RunReport;
use fulmargate_load::Verdict;
use fulmargate_load::WorkloadPlan;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::deployment::Deployment;

/// Two seconds of 60 calls a second; engines know no plain services.
fn short_run(deployment: &Rc<Deployment>, addresses: Vec<String>, target: CallTarget) -> LoadRun {
    let mut plan = WorkloadPlan::new(deployment, 5);
    plan.rate = 60.0;
    plan.duration = Duration::from_secs(2);
    plan.service_share = if target == CallTarget::Routers { 0.3 } else { 0.0 };
    LoadRun {
        deployment: Rc::clone(deployment),
        plan,
        target,
        addresses,
        limits: RunLimits::default(),
    }
}

/// What a caller sees is judged whole: tokens, order, end, ids, dispositions, effects.
#[actix_rt::test]
async fn answers_of_a_calm_deployment_are_sound() {
    let deployment = Rc::new(Deployment::shop());
    let rig = Rig::start(&deployment, "cost").await.unwrap();
    let run = short_run(&deployment, rig.caller_addresses(), CallTarget::Routers);
    let calls = run.calls();
    let touches = run.touches(&calls);
    let mut records = run.run(&calls).await;
    rig.judge(&touches, &mut records).await.unwrap();
    rig.stop();
    let scope = ReportScope {
        deployment: &deployment,
        touches: &touches,
        warm_up: Duration::ZERO,
        duration: run.plan.duration,
    };
    let report = RunReport::new(&scope, &records);
    assert_eq!(report.faults.len(), 0, "{:?}", report.examples);
    assert_eq!(report.whole, calls.len(), "{:?}", report.codes);
    assert!(0.0 < report.hit_rate && report.hit_rate < 1.0, "{}", report.hit_rate);
}

/// Without a router an engine's faults reach the caller: the engine ends streams early as if they
/// were whole, then answers with another request's answer, and both are seen for what they are.
#[actix_rt::test]
async fn faults_of_an_engine_are_told_apart() {
    struct FaultCase {
        order: FaultOrder,
        fault: AnswerFault,
    }
    let cases = [
        FaultCase {
            order: FaultOrder { truncate_streams: Some(3), ..FaultOrder::default() },
            fault: AnswerFault::Truncated,
        },
        FaultCase {
            order: FaultOrder { cross_answers: Some(3), ..FaultOrder::default() },
            fault: AnswerFault::Crossed,
        },
    ];
    let deployment = Rc::new(Deployment::shop());
    for case in cases {
        let rig = Rig::start(&deployment, "cost").await.unwrap();
        let engine = rig.server_address(deployment.engines[0].name.as_str()).unwrap();
        rig.control.order(&engine, &case.order).await.unwrap();
        let run = short_run(&deployment, vec![engine], CallTarget::Engines);
        let calls = run.calls();
        let records = run.run(&calls[..10]).await;
        rig.stop();
        let count = |fault| {
            records.iter().filter(|record| record.verdict == Verdict::Faulty(fault)).count()
        };
        assert_eq!(count(case.fault), 3);
        let whole = records.iter().filter(|record| record.verdict == Verdict::Whole).count();
        assert_eq!(whole, 7);
    }
}
