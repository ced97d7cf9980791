//! Random histories of faults, shared with `bench budgets`.

pub mod model;
pub mod steps;
pub mod world;

pub use steps::Code;
pub use world::World;

/// Runs a history and returns the world after it; the first faults are in `World::faults`.
pub fn run(codes: &[Code]) -> World {
    let mut world = World::new();
    for code in codes {
        world.step(*code);
        if !world.check().is_empty() {
            return world;
        }
    }
    world.heal();
    world
}
