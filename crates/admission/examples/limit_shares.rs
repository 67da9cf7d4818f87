//! What routers that share a limit admit beyond it, and how fast shares follow use; see
//! `docs/design/admission.md`.

#[path = "../tests/support/mod.rs"]
mod support;

use fulmargate_admission::TeamLimit;
use support::Dice;
use support::limit_world::LIMIT;
use support::limit_world::LimitWorld;
use support::limit_world::conf;

const ROUTERS: usize = 6;
const HISTORIES: u64 = 300;

fn main() {
    let bound = LIMIT * conf().burst.as_secs_f64() + 2.0 * ROUTERS as f64;
    println!("limit {LIMIT} requests a second, stated bound {bound} beyond it at any time");
    println!("cuts of 16 s and more: worst {}", worst(cuts));
    println!("one-way links that change every 1 to 3 s: worst {}", worst(flapping));
    for seconds in [1, 5, 10, 13, 15, 20] {
        let mut world = world(1);
        world.run(20);
        world.demand[0] = 300.0;
        world.run(seconds);
        println!("{seconds} s after all came to one router: {} a second", world.rates(1)[0]);
    }
}

fn world(seed: u64) -> LimitWorld {
    let limit = TeamLimit { requests_per_s: LIMIT, prompt_tokens_per_s: f64::INFINITY };
    LimitWorld::new(ROUTERS, limit, seed)
}

fn worst(history: impl Fn(&mut LimitWorld, &mut Dice)) -> f64 {
    let run = |seed| {
        let mut world = world(seed);
        history(&mut world, &mut Dice(seed));
        world.worst_excess()
    };
    (0..HISTORIES).map(run).fold(0.0, f64::max)
}

fn cuts(world: &mut LimitWorld, dice: &mut Dice) {
    for _ in 0..6 {
        world.cut(dice.below(ROUTERS));
        for _ in 0..4 {
            shift(world, dice);
            world.run(4 + dice.below(4) as u64);
        }
    }
}

fn flapping(world: &mut LimitWorld, dice: &mut Dice) {
    for _ in 0..40 {
        let (to, from) = (dice.below(ROUTERS), dice.below(ROUTERS));
        world.hears[to][from] = !world.hears[to][from];
        shift(world, dice);
        world.run(1 + dice.below(3) as u64);
    }
}

fn shift(world: &mut LimitWorld, dice: &mut Dice) {
    for demand in &mut world.demand {
        *demand = [0.0, 0.0, 5.0, 40.0, 400.0][dice.below(5)];
    }
}
