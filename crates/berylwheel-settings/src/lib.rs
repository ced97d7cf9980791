//! The tree of settings: parsing, schema, inheritance and checks.

mod check;
mod edit;
mod error;
mod model;
mod raw;
mod read;
mod reference;
mod schema;
mod section;
mod settings;
mod value;

pub use edit::Edit;
pub use error::SettingError;
pub use error::SettingErrors;
pub use model::Effective;
pub use model::Fencing;
pub use model::FleetSettings;
pub use model::KeySettings;
pub use model::KindSettings;
pub use model::OperatorSettings;
pub use model::Origin;
pub use model::RankSettings;
pub use model::Repeat;
pub use model::RouterSettings;
pub use model::ServerSettings;
pub use model::Service;
pub use model::WorkspaceSettings;
pub use schema::KEYS;
pub use schema::KeySpec;
pub use schema::Required;
pub use section::Level;
pub use section::SectionName;
pub use settings::Settings;
pub use value::ValueType;
