import { z } from "zod";

interface FieldSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly properties?: Readonly<Record<string, FieldSchema>>;
  readonly required?: readonly string[];
  readonly items?: FieldSchema;
}

interface FieldRow {
  readonly name: string;
  readonly type: string;
  readonly defaultText: string;
  readonly description: string;
}

function typeText(field: FieldSchema): string {
  if (field.enum !== undefined) {
    return field.enum.map((value) => `\`${value}\``).join(" or ");
  }
  if (field.type === "array") return "list";
  if (field.type === "integer" || field.type === "number") {
    return field.exclusiveMinimum === undefined
      ? `${field.minimum} to ${field.maximum}`
      : `above ${field.exclusiveMinimum}, up to ${field.maximum}`;
  }
  return field.type ?? "any";
}

function fieldRows(prefix: string, schema: FieldSchema): readonly FieldRow[] {
  return Object.entries(schema.properties ?? {}).flatMap(([key, field]) => {
    const name = prefix + key;
    if (field.properties !== undefined) return fieldRows(`${name}.`, field);
    const isRequired = schema.required?.includes(key) ?? false;
    const defaultText = field.default === undefined
      ? (isRequired ? "required" : "")
      : `\`${JSON.stringify(field.default)}\``;
    const row = {
      name: `\`${name}\``,
      type: typeText(field),
      defaultText,
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

/**
 * Renders a Markdown table of all fields of a schema with their types, defaults
 * and descriptions, formatted as by `deno fmt`.
 *
 * @param schema Schema of an object; fields of objects and lists inside it have
 * rows of their own.
 */
export function renderFieldTable(schema: z.ZodType): string {
  const root = z.toJSONSchema(schema, { io: "input" }) as FieldSchema;
  const rows = fieldRows("", root).map((row) => [
    row.name,
    row.type,
    row.defaultText,
    row.description,
  ]);
  return renderTable([["field", "type", "default", "meaning"], ...rows]);
}
