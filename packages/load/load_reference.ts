import { renderFieldTable } from "@oleanderdeck/settings";
import { loadDescriptionSchema } from "./load_description.ts";

const INTRODUCTION = `# Load descriptions

\`oleanderdeck load <file>\` sends the calls that a file of JSON with comments
describes and reports how they ended. The load is an open loop: a call is sent
at its due time whether or not earlier calls have ended. A response counts as
complete, with the outcome \`whole\`, only if its status is below 400, its body
reached the stated content-length or ended with the terminating chunk, and the
body has the hash in \`x-body-sha256\`, where the backend server sends one. This
page is generated from the schema in \`packages/load/load_description.ts\`; after
a change there, run \`npx vitest run packages/load --update\`.
`;

/** Renders the Markdown page of load descriptions. */
export function renderLoadReference(): string {
  return `${INTRODUCTION}\n${renderFieldTable(loadDescriptionSchema)}\n`;
}
