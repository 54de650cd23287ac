import { renderFieldTable } from "./field_table.ts";
import { nodeSettingsFields } from "./node_settings.ts";

const INTRODUCTION = `# Settings of a node

\`oleanderdeckd\` reads its settings from a file of JSON with comments; trailing
commas are allowed. All errors of a file are reported at once, each with its
path, line and column, and unknown fields are errors. This page is generated
from the schema in \`packages/settings/node_settings.ts\`; after a change there,
run \`npm run build && node dist/settings_reference.mjs docs/settings.md\`.
`;

/** Renders the Markdown page of all settings. */
export function renderSettingsReference(): string {
  return `${INTRODUCTION}\n${renderFieldTable(nodeSettingsFields)}\n`;
}
