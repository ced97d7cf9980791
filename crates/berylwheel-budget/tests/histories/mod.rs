//! Random fault histories, shared with the `budgets` bench.

pub mod model;
pub mod steps;
pub mod world;

pub use steps::Code;
pub use world::World;
