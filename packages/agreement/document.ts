import { type Either, Left, Right } from "purify-ts";
import {
  formatPath,
  type SchemaIssue,
  schemaIssues,
  type ValidationIssue,
} from "@oleanderdeck/settings";
import { z } from "zod";
import {
  type Agreement,
  agreementSchema,
  documentNameSchema,
  requestKey,
  requestSchema,
  servicePolicySchema,
} from "./agreement_schema.ts";
import type { ServicePolicy } from "./policy_view.ts";

/** Kinds of documents, the first part of their names. */
export const DOCUMENT_KINDS = ["agreement", "policy"] as const;

/** Kind of a document. */
export type DocumentKind = (typeof DOCUMENT_KINDS)[number];

/** Parsed name of a document. */
export interface DocumentName {
  readonly kind: DocumentKind;
  /** Organisation of an agreement or service of a policy. */
  readonly subject: string;
}

/**
 * First path segment of local control; a service of this name could not be
 * called.
 */
const RESERVED_SERVICE = "oleanderdeck";

/**
 * Takes the name of a document apart.
 *
 * @param name `agreement/<organisation>` or `policy/<service>`.
 * @returns Undefined if the name has another form.
 */
export function parseDocumentName(name: string): DocumentName | undefined {
  const [kind, subject, ...rest] = name.split("/");
  const known = DOCUMENT_KINDS.find((each) => each === kind);
  if (known === undefined || rest.length > 0) return undefined;
  const valid = documentNameSchema.safeParse(subject).success &&
    !(known === "policy" && subject === RESERVED_SERVICE);
  return valid ? { kind: known, subject: subject! } : undefined;
}

/**
 * Tells the name under which a document is stored from its own fields.
 *
 * @param value Parsed JSON of the document.
 * @returns Undefined if it has neither or both of the fields `organisation` and
 * `service`.
 */
export function nameOfDocument(value: unknown): string | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { organisation, service } = value as Record<string, unknown>;
  if (typeof organisation === "string" && service === undefined) {
    return `agreement/${organisation}`;
  }
  return typeof service === "string" && organisation === undefined
    ? `policy/${service}`
    : undefined;
}

type Report = (path: (string | number)[], message: string) => void;

function asList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function fieldsOf(value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null
    ? value as Record<string, unknown>
    : {};
}

function reportRepeated(
  keys: readonly (string | undefined)[],
  report: (index: number) => void,
): void {
  const seen = new Set<string>();
  keys.forEach((key, index) => {
    if (key === undefined) return;
    if (seen.has(key)) report(index);
    seen.add(key);
  });
}

function checkAgreement(value: unknown, report: Report): void {
  const fields = fieldsOf(value);
  const credentials = asList(fields.credentials).map(fieldsOf);
  for (const field of ["id", "sha256"]) {
    reportRepeated(
      credentials.map((each) => each[field]).map((text) =>
        typeof text === "string" ? text : undefined
      ),
      (index) =>
        report(
          ["credentials", index, field],
          "The value is given by an earlier credential",
        ),
    );
  }
  const entries = asList(fields.requests)
    .map((entry) => requestSchema.safeParse(entry).data);
  reportRepeated(
    entries.map((entry) => entry && requestKey(entry)),
    (index) =>
      report(
        ["requests", index],
        "An earlier rule has the same service, method and path",
      ),
  );
  entries.forEach((entry, index) => {
    if (entry?.permit === "required" && entry.idempotent === true) {
      report(
        ["requests", index, "permit"],
        "An idempotent request needs no permit",
      );
    }
  });
}

function checkPolicy(value: unknown, report: Report): void {
  const { defaultTimeoutMs, maximumTimeoutMs } = fieldsOf(value);
  if (
    typeof defaultTimeoutMs === "number" &&
    typeof maximumTimeoutMs === "number" && defaultTimeoutMs > maximumTimeoutMs
  ) {
    report(["defaultTimeoutMs"], "The value is above maximumTimeoutMs");
  }
}

/**
 * Schema of the document of a given name, with the checks between fields. They
 * run also when single fields are wrong, so that all faults come at once.
 *
 * @param name Name of the document; a name of another form rejects everything.
 */
export function documentSchema(
  name: string,
): z.ZodType<Agreement | ServicePolicy> {
  const parsed = parseDocumentName(name);
  const isPolicy = parsed?.kind === "policy";
  const subjectField = isPolicy ? "service" : "organisation";
  const schema: z.ZodType<Agreement | ServicePolicy> = isPolicy
    ? servicePolicySchema
    : agreementSchema;
  return schema.superRefine((value, context) => {
    const report: Report = (path, message) =>
      context.addIssue({ code: "custom", path, message });
    if (parsed === undefined) {
      report(
        [],
        "The document's name is neither agreement/<organisation> nor policy/<service>",
      );
      return;
    }
    const subject = fieldsOf(value)[subjectField];
    if (typeof subject === "string" && subject !== parsed.subject) {
      report([subjectField], `The document's name says ${parsed.subject}`);
    }
    if (isPolicy) checkPolicy(value, report);
    else checkAgreement(value, report);
  }, { when: () => true });
}

/**
 * Schema of a document whose name follows from its own fields, see
 * {@linkcode nameOfDocument}.
 */
export const anyDocumentSchema: z.ZodType<unknown> = z.unknown().superRefine(
  (value, context) => {
    const name = nameOfDocument(value);
    if (name === undefined) {
      context.addIssue({
        code: "custom",
        path: [],
        message: "Exactly one of the fields organisation (agreement) and " +
          "service (policy) is needed",
      });
      return;
    }
    const { error } = documentSchema(name).safeParse(value);
    error?.issues.forEach((issue) => context.addIssue({ ...issue }));
  },
);

/** Options of {@linkcode readDocument}. */
export interface ReadDocumentOptions {
  /** Whether unknown fields are left out instead of being faults. */
  readonly ignoreUnknownFields?: boolean;
}

function withoutFields(value: unknown, faults: readonly SchemaIssue[]) {
  const copy = structuredClone(value);
  faults.forEach(({ path }) => {
    const parent = path.slice(0, -1).reduce<unknown>(
      (node, segment) => (node as Record<string, unknown>)[segment],
      copy,
    );
    delete (parent as Record<string, unknown>)[path.at(-1)!];
  });
  return copy;
}

/**
 * Reads a document and fills in its defaults.
 *
 * Answers on the left side with all faults.
 *
 * @param name Name under which the document is stored.
 * @param content JSON text without comments.
 * @param options How unknown fields are treated.
 */
export function readDocument(
  name: string,
  content: string,
  options: ReadDocumentOptions = {},
): Either<readonly ValidationIssue[], Agreement | ServicePolicy> {
  let value: unknown;
  try {
    value = JSON.parse(content);
  } catch {
    return Left([{ path: "", message: "The document is not valid JSON" }]);
  }
  const schema = documentSchema(name);
  const result = schema.safeParse(value);
  if (result.success) return Right(result.data);
  const faults = schemaIssues(result.error);
  const unknown = faults.filter(({ aboutName }) => aboutName);
  const retried = options.ignoreUnknownFields && unknown.length > 0
    ? schema.safeParse(withoutFields(value, unknown))
    : undefined;
  if (retried?.success) return Right(retried.data);
  return Left(
    faults.map(({ path, message }) => ({ path: formatPath(path), message })),
  );
}

/**
 * Finds all faults of a document.
 *
 * @param name Name under which the document is to be stored.
 * @param value Parsed JSON of the document.
 */
export function validateDocument(
  name: string,
  value: unknown,
): readonly ValidationIssue[] {
  return readDocument(name, JSON.stringify(value) ?? "null")
    .swap().orDefault([]);
}
