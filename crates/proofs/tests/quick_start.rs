//! The newcomer's first command: a whole deployment in one process answers as it must.

use fulmargate_stand::RunningDeployment;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::run_samples;

/// The second of two routers that have just started finds the first one's prompt cached: a router
/// without memory places as one that has it. Placement by the weights that servers had told of was
/// another one until the first of them had told.
#[actix_rt::test]
async fn each_sample_is_answered_as_it_must_be() {
    for deployment in [Deployment::shop(), Deployment::utility()] {
        let name = deployment.name;
        let running = RunningDeployment::start(deployment).await.expect("a deployment that starts");
        let samples = run_samples(&running).await;
        for sample in &samples {
            assert_eq!(sample.fault, None, "{name}: {}", sample.name);
        }
        assert!(10 < samples.len());
        running.stop().await;
    }
}
