//! What is remembered beyond the log's retention, and what is forgotten.

use std::time::Duration;

use fulmargate_ledger::ClaimKey;
use fulmargate_ledger::LedgerSettings;
use fulmargate_names::TeamName;
use tokio::time::sleep;

use crate::at_most_once::Fleet;
use crate::at_most_once::block_on;
use crate::router_box::RunWorld;
use crate::router_box::Told;

const KEYS: u64 = 40;
const RETENTION: Duration = Duration::from_secs(20);
const OPAQUE_MS: u64 = 150_000;

fn opaque_key(index: u64) -> ClaimKey {
    ClaimKey::new(&TeamName::new("shop"), &format!("order-{index}"))
}

async fn insist(fleet: &Fleet, key: ClaimKey) -> Told {
    loop {
        let told = fleet.try_call(key).await;
        if told != Told::NotRun {
            return told;
        }
    }
}

fn effects(world: &RunWorld) -> Vec<usize> {
    let effects = world.effects.borrow();
    (0..KEYS).map(|index| effects.get(&opaque_key(index).hash).map_or(0, Vec::len)).collect()
}

#[test]
fn keys_without_an_age_outlive_the_log_for_their_time() {
    // The log keeps records for 20 s, keys without an age are remembered for 150 s. All routers are replaced again and again,
    // so that none has read the first claims. A re-send within the time must not run; after it, the key is new again.
    block_on(async {
        let mut settings = LedgerSettings::for_retention(RETENTION);
        settings.memory.opaque_ms = OPAQUE_MS;
        let world = RunWorld::start(7, settings);
        world.log.world.borrow_mut().retention_ms = RETENTION.as_millis() as u64;
        world.log.world.borrow_mut().lost_percent = 10;
        let fleet = Fleet::start(&world);
        for index in 0..KEYS {
            insist(&fleet, opaque_key(index)).await;
        }
        let ran = effects(&world);
        assert!(ran.iter().all(|count| *count <= 1) && KEYS as usize / 2 <= ran.iter().sum());
        for _ in 0..5 {
            sleep(RETENTION / 2).await;
            fleet.kill(&[0, 1], Duration::from_millis(500)).await;
            sleep(RETENTION / 2).await;
            fleet.kill(&[2], Duration::from_millis(500)).await;
        }
        for index in 0..KEYS {
            insist(&fleet, opaque_key(index)).await;
        }
        let ran = effects(&world);
        assert!(ran.iter().all(|count| *count <= 1), "{ran:?}");
        assert!(100 < world.log.world.borrow().first);
        sleep(Duration::from_millis(OPAQUE_MS)).await;
        for index in 0..KEYS {
            insist(&fleet, opaque_key(index)).await;
        }
        assert!(ran.iter().sum::<usize>() < effects(&world).iter().sum());
    });
}

#[test]
fn keys_with_their_age_are_refused_once_the_log_may_have_lost_them() {
    // A caller sends a call again when its first claim is out of retention. The log is empty by then and all routers have
    // started anew, so that the claim and the log's time are unknown to all. The key's own age tells once a
    // record lands: it must not run, and `not-run` must not be said of it.
    block_on(async {
        let world = RunWorld::start(8, LedgerSettings::for_retention(RETENTION));
        world.log.world.borrow_mut().retention_ms = RETENTION.as_millis() as u64;
        let fleet = Fleet::start(&world);
        insist(&fleet, opaque_key(0)).await;
        let made =
            uuid::Builder::from_unix_timestamp_millis(world.log.now_ms(), &[9; 10]).into_uuid();
        let key = ClaimKey::new(&TeamName::new("shop"), &made.to_string());
        assert!(matches!(insist(&fleet, key).await, Told::Ran(_)));
        sleep(RETENTION * 3).await;
        fleet.kill(&[0, 1, 2], Duration::from_millis(500)).await;
        for _ in 0..20 {
            assert_eq!(fleet.try_call(key).await, Told::Unknown);
        }
        assert_eq!(world.effects.borrow()[&key.hash].len(), 1);
    });
}
