//! The canonical form of the text: every field in one order, defaults written out.

use std::fmt::{self, Write};

use kernel::name;

use crate::{
    document::{Document, Entry},
    service::{Kind, Service, fencing_word},
    unit::format_duration,
};

/// The text as YAML.
pub(crate) fn yaml(text: &Document) -> String {
    let mut out = String::new();
    write(&mut out, text).expect("writing to a string does not fail");
    out
}

fn write(out: &mut String, text: &Document) -> fmt::Result {
    let store = text.store();
    writeln!(out, "store:")?;
    writeln!(out, "  rate: {}/s", store.rate_per_second)?;
    writeln!(out, "  full_speed: {}", store.full_speed)?;
    writeln!(out, "  in_flight: {}", store.in_flight)?;
    models(out, text)?;
    tenants(out, text)?;
    services(out, text)
}

fn models(out: &mut String, text: &Document) -> fmt::Result {
    if !text.models.is_empty() {
        writeln!(out, "models:")?;
    }
    for (name, model) in text.models.sorted() {
        writeln!(out, "  {}:", key(name.as_str()))?;
        writeln!(out, "    fencing: {}", fencing_word(model.fencing))?;
        writeln!(out, "    prefix_cache: {}", model.prefix_cache.word())?;
    }
    Ok(())
}

fn tenants(out: &mut String, text: &Document) -> fmt::Result {
    if !text.tenants.is_empty() {
        writeln!(out, "tenants:")?;
    }
    for (name, tenant) in text.tenants.sorted() {
        writeln!(out, "  {}:", key(name.as_str()))?;
        writeln!(out, "    weight: {}", tenant.weight)?;
        if let Some(in_flight) = tenant.in_flight {
            writeln!(out, "    in_flight: {in_flight}")?;
        }
    }
    Ok(())
}

fn services(out: &mut String, text: &Document) -> fmt::Result {
    if !text.services.is_empty() {
        writeln!(out, "services:")?;
    }
    for (name, entry) in text.services.sorted() {
        service(out, name, &entry.service)?;
        adapters(out, entry)?;
    }
    Ok(())
}

fn service(out: &mut String, name: &name::Service, service: &Service) -> fmt::Result {
    writeln!(out, "  {}:", key(name.as_str()))?;
    writeln!(out, "    kind: {}", service.kind.word())?;
    if let Kind::Model(model) = &service.kind {
        writeln!(out, "    model: {}", key(model.as_str()))?;
    }
    writeln!(out, "    deadline: {}", format_duration(service.deadline))?;
    writeln!(out, "    class: {}", service.class)?;
    writeln!(out, "    retry:")?;
    writeln!(out, "      repeat: {}", service.retry.repeat.word())?;
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
            writeln!(out, "    journal_outage: {}", service.journal_outage.word())?;
        }
    }
    let names: Vec<String> = service
        .depends_on
        .iter()
        .map(|it| key(it.as_str()))
        .collect();
    writeln!(out, "    depends_on: [{}]", names.join(", "))
}

fn adapters(out: &mut String, entry: &Entry) -> fmt::Result {
    if !entry.adapters.is_empty() {
        writeln!(out, "    adapters:")?;
    }
    for (name, versions) in entry.adapters.sorted() {
        let versions: Vec<String> = versions.iter().map(ToString::to_string).collect();
        writeln!(
            out,
            "      {}: [{}]",
            key(name.as_str()),
            versions.join(", ")
        )?;
    }
    Ok(())
}

/// A name, in quotes unless YAML can only read it as a string.
fn key(name: &str) -> String {
    let letter_first = name.starts_with(|it: char| it.is_ascii_lowercase());
    let plain = letter_first && !RESERVED.contains(&name);
    if plain {
        name.to_owned()
    } else {
        format!("{name:?}")
    }
}

/// Words that YAML readers take for truth values or for nothing.
const RESERVED: [&str; 8] = ["false", "n", "no", "null", "off", "on", "true", "y"];
