import type { z } from "zod";

/** Field names and list indexes from the root of a document to a value. */
export type IssuePath = readonly (string | number)[];

/** One error in a document. */
export interface ValidationIssue {
  /** Path of the value, like `operatorTokens[0].role`; empty for the root. */
  readonly path: string;
  /** Description of the error, a sentence without a full stop. */
  readonly message: string;
}

/** Issue with its position in a text. */
export interface LocatedIssue extends ValidationIssue {
  /** Line of the value, or of the object in which it is missing, from 1. */
  readonly line: number;
  /** Column in UTF-16 code units, from 1. */
  readonly column: number;
}

/** Issue whose path is still a list, so that the value can be located. */
export interface SchemaIssue {
  readonly path: IssuePath;
  readonly message: string;
  /** Whether the issue is about a field's name and not about its value. */
  readonly isAboutName: boolean;
}

const PLAIN_NAME = /^[A-Za-z_][A-Za-z0-9_-]*$/;

/**
 * Formats a path as text.
 *
 * @param path Names and indexes from the root.
 */
export function formatPath(path: IssuePath): string {
  return path.map((segment, index) => {
    if (typeof segment === "number") return `[${segment}]`;
    if (!PLAIN_NAME.test(segment)) return `[${JSON.stringify(segment)}]`;
    return index === 0 ? segment : `.${segment}`;
  }).join("");
}

/**
 * Converts the issues of a failed schema check, with a separate one for each
 * unknown field.
 *
 * @param error Result of a failed check.
 */
export function schemaIssues(error: z.ZodError): readonly SchemaIssue[] {
  return error.issues.flatMap((issue): SchemaIssue[] => {
    const path = issue.path.map((segment) =>
      typeof segment === "number" ? segment : String(segment)
    );
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) => ({
        path: [...path, key],
        message: "The field is not known",
        isAboutName: true,
      }));
    }
    return [{ path, message: issue.message, isAboutName: false }];
  });
}

/**
 * Formats an issue as one line, `<source>:<line>:<column>: <path>: <message>`.
 *
 * @param source Name of the file.
 * @param issue Issue in this file.
 */
export function formatIssue(source: string, issue: LocatedIssue): string {
  const path = issue.path === "" ? "" : `${issue.path}: `;
  return `${source}:${issue.line}:${issue.column}: ${path}${issue.message}`;
}
