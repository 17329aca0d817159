//! Renders a config document in canonical form: fields in a fixed order, with defaults written out.

use std::fmt::{self, Write};

use kernel::name;

use crate::{
    document::{Document, ServiceEntry},
    service::{Kind, Service, fencing_as_str},
    unit::format_duration,
};

/// Renders a document as YAML.
pub(crate) fn to_yaml(document: &Document) -> String {
    let mut out = String::new();
    write_document(&mut out, document).expect("writing to a string cannot fail");
    out
}

fn write_document(out: &mut String, document: &Document) -> fmt::Result {
    let store = document.store();
    writeln!(out, "store:")?;
    writeln!(out, "  rate: {}/s", store.rate_per_second)?;
    writeln!(out, "  full_speed: {}", store.full_speed)?;
    writeln!(out, "  in_flight: {}", store.in_flight)?;
    write_models(out, document)?;
    write_tenants(out, document)?;
    write_services(out, document)
}

fn write_models(out: &mut String, document: &Document) -> fmt::Result {
    if !document.models.is_empty() {
        writeln!(out, "models:")?;
    }
    for (name, model) in document.models.sorted() {
        writeln!(out, "  {}:", quote_name(name.as_str()))?;
        writeln!(out, "    fencing: {}", fencing_as_str(model.fencing))?;
        writeln!(out, "    prefix_cache: {}", model.prefix_cache.as_str())?;
    }
    Ok(())
}

fn write_tenants(out: &mut String, document: &Document) -> fmt::Result {
    if !document.tenants.is_empty() {
        writeln!(out, "tenants:")?;
    }
    for (name, tenant) in document.tenants.sorted() {
        writeln!(out, "  {}:", quote_name(name.as_str()))?;
        writeln!(out, "    weight: {}", tenant.weight)?;
        if let Some(in_flight) = tenant.in_flight {
            writeln!(out, "    in_flight: {in_flight}")?;
        }
    }
    Ok(())
}

fn write_services(out: &mut String, document: &Document) -> fmt::Result {
    if !document.services.is_empty() {
        writeln!(out, "services:")?;
    }
    for (name, entry) in document.services.sorted() {
        write_service(out, name, &entry.service)?;
        write_adapters(out, entry)?;
    }
    Ok(())
}

fn write_service(out: &mut String, name: &name::Service, service: &Service) -> fmt::Result {
    writeln!(out, "  {}:", quote_name(name.as_str()))?;
    writeln!(out, "    kind: {}", service.kind.as_str())?;
    if let Kind::Model(model) = &service.kind {
        writeln!(out, "    model: {}", quote_name(model.as_str()))?;
    }
    writeln!(out, "    deadline: {}", format_duration(service.deadline))?;
    writeln!(out, "    class: {}", service.class)?;
    writeln!(out, "    retry:")?;
    writeln!(out, "      repeat: {}", service.retry.repeat.as_str())?;
    writeln!(out, "      budget: {}", service.retry.budget)?;
    match service.kind {
        Kind::Model(_) => {
            writeln!(out, "    weights:")?;
            writeln!(out, "      load_stall: {}", service.weights.load_stall)?;
            writeln!(
                out,
                "      batch_efficiency: {}",
                service.weights.batch_efficiency
            )?;
        }
        Kind::Plain => {
            writeln!(
                out,
                "    journal_outage: {}",
                service.journal_outage.as_str()
            )?;
        }
    }
    let names: Vec<String> = service
        .depends_on
        .iter()
        .map(|it| quote_name(it.as_str()))
        .collect();
    writeln!(out, "    depends_on: [{}]", names.join(", "))
}

fn write_adapters(out: &mut String, entry: &ServiceEntry) -> fmt::Result {
    if !entry.adapters.is_empty() {
        writeln!(out, "    adapters:")?;
    }
    for (name, versions) in entry.adapters.sorted() {
        let versions: Vec<String> = versions.iter().map(ToString::to_string).collect();
        writeln!(
            out,
            "      {}: [{}]",
            quote_name(name.as_str()),
            versions.join(", ")
        )?;
    }
    Ok(())
}

/// Formats a name, in quotes unless every YAML reader reads it as a string.
fn quote_name(name: &str) -> String {
    let starts_with_letter = name.starts_with(|it: char| it.is_ascii_lowercase());
    let is_plain = starts_with_letter && !RESERVED_SCALARS.contains(&name);
    if is_plain {
        name.to_owned()
    } else {
        format!("{name:?}")
    }
}

/// The strings that some YAML readers take for Booleans or for null.
const RESERVED_SCALARS: [&str; 8] = ["false", "n", "no", "null", "off", "on", "true", "y"];
