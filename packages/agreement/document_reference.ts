import { renderFieldTable } from "@oleanderdeck/settings";
import { agreementSchema, servicePolicySchema } from "./agreement_schema.ts";

const INTRODUCTION = `# Documents

Operators write documents as JSON with comments and store them with
\`oleanderdeck apply\`. All faults of a document are reported at once. This page
is generated from the schema in \`packages/agreement/agreement_schema.ts\`. After
a change of the schema, run \`npx vitest run packages/agreement --update\`.
`;

const AGREEMENT = `## Agreements

\`agreement/<organisation>\` defines the priorities of an organisation's requests,
which of them must not be repeated, and how much load the organisation may send.
Its rules also apply to the calls that backend servers make while they handle
these requests. The rule with the longest matching path prefix applies; among
rules with the same prefix, one for the method takes precedence over one for
\`*\`. Unless a rule specifies otherwise, \`GET\`, \`HEAD\`, \`OPTIONS\`, \`PUT\` and
\`DELETE\` are idempotent, and other methods such as \`POST\` and \`PATCH\` are not.
Callers without a credential belong to the organisation \`anonymous\`, if it has
an agreement.
`;

const POLICY = `## Service policies

\`policy/<service>\` makes a service available for calls and sets its limits.
`;

/** Renders the Markdown reference page of agreements and service policies. */
export function renderDocumentReference(): string {
  return [
    INTRODUCTION,
    AGREEMENT,
    `${renderFieldTable(agreementSchema)}\n`,
    POLICY,
    `${renderFieldTable(servicePolicySchema)}\n`,
  ].join("\n");
}
