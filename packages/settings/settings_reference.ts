import { renderFieldTable } from "./field_table.ts";
import { nodeSettingsFields } from "./node_settings.ts";

const INTRODUCTION = `# Settings of a node

\`oleanderdeckd\` reads its settings from a file of JSON with comments; trailing
commas are allowed. All errors of a file are reported at once, each with its
path, line and column, and unknown fields are errors. This page is generated
from the schema in \`packages/settings/node_settings.ts\`; after a change there,
run \`npm run build && node dist/settings_reference.mjs docs/settings.md\`.
`;

/** Settings of the program for the platform's hosts, which has a file of its own. */
const CLIENT_LIMITS = `
## Limits of clients on the platform's hosts

Lines \`name=value\` of the platform's settings file; see
docs/design/client_limits.md. A value that is no integer, or below the least
one, is an error; changed values are in force at once, except those of the ports
for readiness checks, heartbeats and metrics.

| field                           | least | default                                | meaning                                                                                                                            |
| ------------------------------- | ----- | -------------------------------------- | ---------------------------------------------------------------------------------------------------------------------------------- |
| \`limits.maxFds\`                 | -     | 4096, also if it is no positive number | Descriptors of the process; all but 200, or half if that is more, are for clients, an eighth of them for the ports of the platform |
| \`clients.requestsAhead\`         | 1     | 16                                     | Requests of a connection that are read behind the 8 in progress; beyond them it is not read                                        |
| \`clients.unreadBytes\`           | 16384 | 262144                                 | Bytes of unread answers of a connection above which none of its further requests is started                                        |
| \`clients.connections\`           | 1     | out of \`limits.maxFds\`                 | Connections of all clients; a new one replaces an idle one, or is refused with 503                                                 |
| \`clients.connectionsPerAddress\` | 1     | 0.75 of \`clients.connections\`          | Connections of one client address                                                                                                  |
`;

/** Renders the Markdown page of all settings. */
export function renderSettingsReference(): string {
  return `${INTRODUCTION}\n${
    renderFieldTable(nodeSettingsFields)
  }\n${CLIENT_LIMITS}`;
}
