//! Random histories of faults, shared with `bench budgets`.

pub mod model;
pub mod steps;
pub mod world;

pub use steps::Code;
pub use world::World;
