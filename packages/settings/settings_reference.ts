import { z } from "zod";
import { nodeSettingsFields } from "./node_settings.ts";

interface FieldSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly properties?: Readonly<Record<string, FieldSchema>>;
  readonly required?: readonly string[];
  readonly items?: FieldSchema;
}

interface FieldRow {
  readonly name: string;
  readonly type: string;
  readonly standard: string;
  readonly description: string;
}

const INTRODUCTION = `# Settings of a node

\`oleanderdeckd\` reads its settings from a file of JSON with comments; trailing
commas are allowed. All faults of a file are reported at once, each with its
path, line and column, and unknown fields are faults. This page is generated
from the schema in \`packages/settings/node_settings.ts\`; after a change there,
run \`npm run build && node dist/settings_reference.mjs docs/settings.md\`.
`;

function typeText(field: FieldSchema): string {
  if (field.enum !== undefined) {
    return field.enum.map((value) => `\`${value}\``).join(" or ");
  }
  if (field.type === "array") return "list";
  if (field.type === "integer") {
    return `${field.minimum} to ${field.maximum}`;
  }
  return field.type ?? "any";
}

function fieldRows(prefix: string, schema: FieldSchema): readonly FieldRow[] {
  return Object.entries(schema.properties ?? {}).flatMap(([key, field]) => {
    const name = prefix + key;
    if (field.properties !== undefined) return fieldRows(`${name}.`, field);
    const isRequired = schema.required?.includes(key) ?? false;
    const standard = field.default === undefined
      ? (isRequired ? "required" : "")
      : `\`${JSON.stringify(field.default)}\``;
    const row = {
      name: `\`${name}\``,
      type: typeText(field),
      standard,
      description: field.description ?? "",
    };
    return [
      row,
      ...(field.items === undefined
        ? []
        : fieldRows(`${name}[].`, field.items)),
    ];
  });
}

function renderTable(rows: readonly (readonly string[])[]): string {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  const line = (cells: readonly string[]) =>
    `| ${cells.map((cell, at) => cell.padEnd(widths[at]!)).join(" | ")} |`;
  const rule = widths.map((width) => "-".repeat(width));
  return [rows[0]!, rule, ...rows.slice(1)].map(line).join("\n");
}

/** Renders the Markdown page of all settings, formatted as by `deno fmt`. */
export function renderSettingsReference(): string {
  const schema = z.toJSONSchema(nodeSettingsFields, {
    io: "input",
  }) as FieldSchema;
  const rows = fieldRows("", schema).map((row) => [
    row.name,
    row.type,
    row.standard,
    row.description,
  ]);
  const table = renderTable([["field", "type", "default", "meaning"], ...rows]);
  return `${INTRODUCTION}\n${table}\n`;
}
