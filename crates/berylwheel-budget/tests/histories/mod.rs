//! Random fault histories, shared with the `budgets` bench.

pub mod model;
pub mod simulation;
pub mod steps;

pub use simulation::Simulation;
pub use steps::EncodedStep;
