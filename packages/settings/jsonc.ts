import {
  findNodeAtLocation,
  getNodePath,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import {
  formatPath,
  type IssuePath,
  type LocatedIssue,
  type SchemaIssue,
  schemaIssues,
} from "./validation_issue.ts";

/**
 * Nesting beyond which a text is rejected before it is parsed; the recursive
 * parser would exhaust the stack at some thousands of levels.
 */
const MAX_NESTING = 100;

const SYNTAX_MESSAGES: Readonly<Record<string, string>> = {
  InvalidSymbol: "The symbol is not valid in JSON",
  InvalidNumberFormat: "The number is malformed",
  PropertyNameExpected: "A field name in quotes is expected",
  ValueExpected: "A value is expected",
  ColonExpected: "A colon is expected",
  CommaExpected: "A comma is expected",
  CloseBraceExpected: "A closing brace is expected",
  CloseBracketExpected: "A closing bracket is expected",
  EndOfFileExpected: "There is text after the end of the document",
  UnexpectedEndOfComment: "The comment is not closed",
  UnexpectedEndOfString: "The string is not closed",
  UnexpectedEndOfNumber: "The number is incomplete",
  InvalidUnicode: "The Unicode escape is malformed",
  InvalidEscapeCharacter: "The escape sequence is not known",
  InvalidCharacter: "The character is not allowed here",
};

class Positions {
  readonly #lineStarts: readonly number[];

  constructor(text: string) {
    this.#lineStarts = [
      0,
      ...Array.from(
        text.matchAll(/\r\n|\n|\r/g),
        (match) => match.index + match[0].length,
      ),
    ];
  }

  at(offset: number): { readonly line: number; readonly column: number } {
    const next = this.#lineStarts.findIndex((start) => start > offset);
    const line = next === -1 ? this.#lineStarts.length : next;
    return { line, column: offset - this.#lineStarts[line - 1]! + 1 };
  }
}

function isTooDeep(text: string): boolean {
  // Strings and comments are removed first, because brackets in them do not
  // nest.
  const plain = text.replace(
    /"(?:\\.|[^"\\\r\n])*"|\/\/[^\r\n]*|\/\*[\s\S]*?\*\//g,
    "",
  );
  let depth = 0;
  for (const bracket of plain.match(/[[\]{}]/g) ?? []) {
    depth += bracket === "[" || bracket === "{" ? 1 : -1;
    if (depth > MAX_NESTING) return true;
  }
  return false;
}

function duplicateFields(node: Node | undefined): readonly Node[] {
  if (node?.children === undefined) return [];
  const below = node.children.flatMap(duplicateFields);
  if (node.type !== "object") return below;
  const seen = new Set<unknown>();
  const duplicates = node.children
    .map((property) => property.children![0]!)
    .filter((name) => seen.has(name.value) || !seen.add(name.value));
  return [...duplicates, ...below];
}

/** Returns one error for each offset; the parser may report a symbol twice. */
function firstErrorPerOffset(
  errors: readonly ParseError[],
): readonly ParseError[] {
  const offsets = errors.map(({ offset }) => offset);
  return errors.filter(({ offset }, index) =>
    offsets.indexOf(offset) === index
  );
}

function nearestNode(root: Node, issue: SchemaIssue): Node {
  for (let length = issue.path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, issue.path.slice(0, length));
    if (node === undefined) continue;
    const isName = issue.isAboutName && length === issue.path.length;
    return isName ? node.parent?.children?.[0] ?? node : node;
  }
  return root;
}

function exists(root: Node, path: IssuePath): boolean {
  return findNodeAtLocation(root, [...path]) !== undefined;
}

/**
 * Parses JSON with comments and trailing commas and validates it by a schema.
 *
 * Returns every issue on the left side, in the order of the text: syntax
 * errors, duplicate fields, unknown fields and values that the schema rejects.
 * If there is a syntax error, missing fields are not reported, because the
 * parser may have skipped them.
 *
 * @param text Text of the document.
 * @param schema Schema of the document; strict objects report unknown fields.
 *
 * @example
 * ```ts
 * const settings = readJsonc(text, nodeSettingsSchema);
 * ```
 */
export function readJsonc<Output>(
  text: string,
  schema: z.ZodType<Output>,
): Either<readonly LocatedIssue[], Output> {
  if (isTooDeep(text)) {
    const message = `The document is nested deeper than ${MAX_NESTING} levels`;
    return Left([{ path: "", line: 1, column: 1, message }]);
  }
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const positions = new Positions(text);
  const located = (offset: number, path: IssuePath, message: string) => ({
    path: formatPath(path),
    ...positions.at(offset),
    message,
  });
  const structureIssues = [
    ...firstErrorPerOffset(errors).map((error) =>
      located(
        error.offset,
        [],
        SYNTAX_MESSAGES[printParseErrorCode(error.error)] ??
          "The syntax is not valid",
      )
    ),
    ...duplicateFields(root).map((name) =>
      located(
        name.offset,
        [...getNodePath(name.parent!), String(name.value)],
        "The field is given more than once",
      )
    ),
  ];
  if (root === undefined) {
    return Left(
      structureIssues.length > 0
        ? structureIssues
        : [located(0, [], "A value is expected")],
    );
  }
  const result = schema.safeParse(getNodeValue(root));
  if (result.success && structureIssues.length === 0) return Right(result.data);
  const rejectedValues = result.success ? [] : schemaIssues(result.error)
    .filter((issue) => errors.length === 0 || exists(root, issue.path))
    .map((issue) =>
      located(
        nearestNode(root, issue).offset,
        issue.path,
        exists(root, issue.path) ? issue.message : "The field is missing",
      )
    );
  return Left(
    [...structureIssues, ...rejectedValues].sort((a, b) =>
      a.line - b.line || a.column - b.column
    ),
  );
}
