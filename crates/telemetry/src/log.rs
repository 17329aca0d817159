//! Logs.
/// Settings.
pub struct Settings {
    /// Level.
    pub level: ::log::LevelFilter,
    /// Form.
    pub form: Form,
}
/// Form.
pub enum Form {
    /// Text.
    Text,
    /// JSON.
    Json,
}
/// Failure.
#[derive(Debug)]
pub struct Failure;
impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("x")
    }
}
impl std::error::Error for Failure {}
/// Starts.
pub fn start(settings: Settings) -> Result<flexi_logger::LoggerHandle, Failure> {
    flexi_logger::Logger::with(
        flexi_logger::LogSpecification::builder()
            .default(settings.level)
            .build(),
    )
    .log_to_stderr()
    .start()
    .map_err(|_| Failure)
}
