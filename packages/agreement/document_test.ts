import fc from "fast-check";
import { expect, test } from "vitest";
import { normalisePath } from "./agreement_schema.ts";
import { diffDocuments } from "./document_difference.ts";
import { renderDocumentReference } from "./document_reference.ts";
import {
  nameOfDocument,
  parseDocumentName,
  readDocument,
  validateDocument,
} from "./document.ts";

const hash = "a".repeat(64);

// Guards against validation that stops at faults of single fields and does not
// report faults across fields.
test("all faults of an agreement are found at once", () => {
  const faults = validateDocument("agreement/lunchtable", {
    organisation: "other",
    weight: 0,
    credentials: [
      { id: "k1", sha256: hash },
      { id: "k1", sha256: "B".repeat(64) },
    ],
    requests: [
      { service: "menus", path: "/a" },
      { service: "menus", method: "*", path: "/a/" },
      { service: "menus", idempotent: true, permit: "required" },
      { service: "menus", path: "a", cost: 1 },
    ],
  });
  expect(faults.map(({ path }) => path).sort()).toEqual([
    "credentials[1].id",
    "credentials[1].sha256",
    "organisation",
    "requests[1]",
    "requests[2].permit",
    "requests[3].cost",
    "requests[3].path",
    "weight",
  ]);
});

// Guards against rejecting rules with overlapping paths, which are valid.
test("overlapping paths with different rules are valid", () => {
  expect(validateDocument("agreement/a", {
    organisation: "a",
    requests: [
      { service: "s", path: "/x", idempotent: true },
      { service: "s", path: "/x/y", idempotent: false },
    ],
  })).toEqual([]);
});

// Guards against service policies whose default timeout exceeds their maximum.
test("a service policy has defaults and consistent timeouts", () => {
  const policy = readDocument("policy/menus", '{"service":"menus"}');
  expect(policy.unsafeCoerce()).toMatchObject({ retries: 3, queueLength: 100 });
  expect(
    validateDocument("policy/menus", {
      service: "menus",
      defaultTimeoutMs: 10,
      maximumTimeoutMs: 5,
    }).map(({ path }) => path),
  ).toEqual(["defaultTimeoutMs"]);
});

// Guards against documents with a malformed name or for a service that cannot
// be called.
test("malformed document names are rejected", () => {
  ["agreement/", "agreement/A", "policy/a/b", "x/a", "policy/oleanderdeck", ""]
    .forEach((name) => {
      expect(parseDocumentName(name)).toBeUndefined();
      expect(validateDocument(name, { organisation: "a" })).not.toEqual([]);
    });
  expect(nameOfDocument({ service: "menus" })).toBe("policy/menus");
  expect(nameOfDocument({ service: "a", organisation: "b" })).toBeUndefined();
  expect(validateDocument("policy/a", undefined)).not.toEqual([]);
});

// Guards against differences reported for entries that were only reordered.
test("diffDocuments matches rules and credentials by key", () => {
  const a = {
    organisation: "a",
    weight: 1,
    credentials: [{ id: "k1", sha256: "1" }, { id: "k2", sha256: "2" }],
    requests: [
      { service: "s", path: "/x", priority: "low" },
      { service: "t" },
    ],
  };
  const b = {
    organisation: "a",
    credentials: [{ id: "k2", sha256: "2" }, { id: "k3", sha256: "3" }],
    requests: [
      { service: "t" },
      { service: "s", path: "/x", priority: "high" },
    ],
  };
  expect(diffDocuments(a, b)).toEqual([
    { path: "weight", stored: "1", proposed: "" },
    {
      path: "credentials[k1]",
      stored: '{"id":"k1","sha256":"1"}',
      proposed: "",
    },
    {
      path: "credentials[k3]",
      stored: "",
      proposed: '{"id":"k3","sha256":"3"}',
    },
    {
      path: "requests[s * /x].priority",
      stored: '"low"',
      proposed: '"high"',
    },
  ]);
  expect(diffDocuments(a, a)).toEqual([]);
});

// Guards against a reference page not regenerated after a schema change.
test("docs/documents.md is current", async () => {
  await expect(renderDocumentReference())
    .toMatchFileSnapshot("../../docs/documents.md");
});

// Guards against a path spelled differently so that its rule does not apply.
test("every spelling of a path is normalised to the same text", () => {
  const segment = fc.stringMatching(/^[a-z0-9~_-]{1,8}$/);
  const escaped = (text: string, mask: number) =>
    Array.from(
      text,
      (character, index) =>
        mask >> index & 1
          ? `%${character.charCodeAt(0).toString(16)}`
          : character,
    ).join("");
  fc.assert(
    fc.property(
      fc.array(
        fc.tuple(
          segment,
          fc.nat(255),
          fc.constantFrom("/", "//", "/./", "/x/../", "/%2e/", "\\"),
        ),
        { minLength: 1, maxLength: 6 },
      ),
      (parts) => {
        const plain = parts.map(([text]) => `/${text}`).join("");
        const spelled = parts
          .map(([text, mask, slash]) => slash + escaped(text, mask)).join("");
        expect(normalisePath(`${spelled}/?a=/b`)).toBe(plain);
      },
    ),
    { seed: 20_261_204 },
  );
});
