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
  requestRuleKey,
  requestRuleSchema,
  servicePolicySchema,
  subjectNameSchema,
} from "./agreement_schema.ts";
import type { ServicePolicy } from "./policy_view.ts";

/** Kinds of documents. A document's name begins with its kind. */
export const DOCUMENT_KINDS = ["agreement", "policy"] as const;

/** Kind of a document. */
export type DocumentKind = (typeof DOCUMENT_KINDS)[number];

/** Parsed name of a document. */
export interface DocumentName {
  readonly kind: DocumentKind;
  /** Name of the organisation of an agreement or of the service of a policy. */
  readonly subject: string;
}

/**
 * First path segment of the local control endpoints, so that a service of this
 * name could not be called.
 */
const RESERVED_SERVICE = "oleanderdeck";

/**
 * Parses the name of a document.
 *
 * @param name `agreement/<organisation>` or `policy/<service>`.
 * @returns Undefined if the name does not have one of these forms or its second
 * part is invalid or reserved.
 */
export function parseDocumentName(name: string): DocumentName | undefined {
  const [kind, subject, ...rest] = name.split("/");
  const documentKind = DOCUMENT_KINDS.find((each) => each === kind);
  if (documentKind === undefined || rest.length > 0) return undefined;
  const valid = subjectNameSchema.safeParse(subject).success &&
    !(documentKind === "policy" && subject === RESERVED_SERVICE);
  return valid ? { kind: documentKind, subject: subject! } : undefined;
}

/**
 * Derives the name under which a document is stored from its fields.
 *
 * @param value Parsed JSON of the document.
 * @returns Undefined unless the document has exactly one of the fields
 * `organisation` and `service` and it is a string.
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

type ReportFault = (path: (string | number)[], message: string) => void;

function asList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function fieldsOf(value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null
    ? value as Record<string, unknown>
    : {};
}

function reportDuplicates(
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

function checkAgreement(value: unknown, report: ReportFault): void {
  const fields = fieldsOf(value);
  const credentials = asList(fields.credentials).map(fieldsOf);
  for (const field of ["id", "sha256"]) {
    reportDuplicates(
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
  const rules = asList(fields.requests)
    .map((rule) => requestRuleSchema.safeParse(rule).data);
  reportDuplicates(
    rules.map((rule) => rule && requestRuleKey(rule)),
    (index) =>
      report(
        ["requests", index],
        "An earlier rule has the same service, method and path",
      ),
  );
  rules.forEach((rule, index) => {
    if (rule?.permit === "required" && rule.idempotent === true) {
      report(
        ["requests", index, "permit"],
        "An idempotent request needs no permit",
      );
    }
  });
}

function checkPolicy(value: unknown, report: ReportFault): void {
  const { defaultTimeoutMs, maximumTimeoutMs } = fieldsOf(value);
  if (
    typeof defaultTimeoutMs === "number" &&
    typeof maximumTimeoutMs === "number" && defaultTimeoutMs > maximumTimeoutMs
  ) {
    report(["defaultTimeoutMs"], "The value is above maximumTimeoutMs");
  }
}

/**
 * Returns the schema of the document with a given name, including the checks
 * across fields. These also run when individual fields are invalid, so that all
 * faults are reported at once.
 *
 * @param name Name of the document. The schema for an invalid name rejects
 * every document.
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
    const report: ReportFault = (path, message) =>
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
 * Schema of a document whose name is derived from its fields by
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
  /** Whether unknown fields are removed, not reported; false by default. */
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
 * Parses and validates a document and sets absent fields to their defaults.
 *
 * @param name Name under which the document is stored.
 * @param content JSON text without comments.
 * @param options Handling of unknown fields.
 * @returns The document, or all its faults on the left side.
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
  const unknownFields = faults.filter(({ isAboutName }) => isAboutName);
  const lenientResult = options.ignoreUnknownFields && unknownFields.length > 0
    ? schema.safeParse(withoutFields(value, unknownFields))
    : undefined;
  if (lenientResult?.success) return Right(lenientResult.data);
  return Left(
    faults.map(({ path, message }) => ({ path: formatPath(path), message })),
  );
}

/**
 * Validates a document.
 *
 * @param name Name under which the document is to be stored.
 * @param value Parsed JSON of the document.
 * @returns All faults of the document; empty if it is valid.
 */
export function validateDocument(
  name: string,
  value: unknown,
): readonly ValidationIssue[] {
  return readDocument(name, JSON.stringify(value) ?? "null")
    .swap().orDefault([]);
}
