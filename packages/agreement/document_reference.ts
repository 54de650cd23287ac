import { renderFieldTable } from "@oleanderdeck/settings";
import { agreementSchema, servicePolicySchema } from "./agreement_schema.ts";

const INTRODUCTION = `# Documents

Operators write documents as JSON with comments and store them by
\`oleanderdeck apply\`; all faults of a document are reported at once. This page
is generated from the schema in \`packages/agreement/agreement_schema.ts\`; after
a change there, run \`npx vitest run packages/agreement --update\`.
`;

const AGREEMENT = `## Agreements

\`agreement/<organisation>\` says which requests of an organisation matter most,
which must not be repeated, and how much load the organisation may send. Its
rules also apply to the calls that backend servers make for its requests. The
rule with the longest path prefix applies; among rules with the same prefix, one
for the method applies before one for \`*\`. Without a rule, \`GET\`, \`HEAD\`,
\`OPTIONS\`, \`PUT\` and \`DELETE\` are idempotent, \`POST\` and \`PATCH\` are not.
Callers without a credential belong to the organisation \`anonymous\`, if it has
an agreement.
`;

const POLICY = `## Service policies

\`policy/<service>\` makes a service callable and sets its limits.
`;

/** Renders the Markdown page of the two kinds of documents. */
export function renderDocumentReference(): string {
  return [
    INTRODUCTION,
    AGREEMENT,
    `${renderFieldTable(agreementSchema)}\n`,
    POLICY,
    `${renderFieldTable(servicePolicySchema)}\n`,
  ].join("\n");
}
