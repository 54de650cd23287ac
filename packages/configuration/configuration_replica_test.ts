import { expect, test } from "vitest";
import {
  ConfigurationReplica,
  type DocumentVersionCopy,
  FETCH_PAGE_LENGTH,
  selectNewerDocuments,
} from "./mod.ts";
import { compileStub, type StubView } from "./_fake_fleet.ts";

function copy(name: string, version: number, content = "{}") {
  const deleted = content === "";
  return { name, version, content, deleted, changeId: `change-${version}` };
}

function newReplica(copies: readonly DocumentVersionCopy[] = []) {
  const replica = new ConfigurationReplica({ compile: compileStub });
  replica.acceptAll(copies);
  return replica;
}

function compiled(replica: ConfigurationReplica): readonly string[] {
  return (replica.view() as StubView).compiled
    .map(({ name, version }) => `${name}@${version}`);
}

// Guards against a configuration that is reverted by late or repeated copies.
test("only higher versions are accepted, in any order", () => {
  const a1 = copy("policy/a", 1);
  const a4 = copy("policy/a", 4);
  const b2 = copy("policy/b", 2, "");
  const c3 = copy("policy/c", 3);
  const replica = newReplica([a4, c3]);
  expect(replica.accept(a1)).toBe(false);
  expect(replica.accept(a4)).toBe(false);
  expect(replica.accept(b2)).toBe(true);
  expect(replica.accept(copy("seeds", 9))).toBe(false);
  expect(replica.highestVersion()).toBe(4);
  expect(compiled(replica)).toEqual(["policy/a@4", "policy/c@3"]);
  expect(replica.digest()).toBe(newReplica([a1, b2, c3, a4]).digest());
  expect(replica.digest()).not.toBe(newReplica([a1, b2, c3]).digest());
});

// Guards against one invalid document that keeps all others inactive.
test("an invalid document leaves its earlier version active", () => {
  const replica = newReplica([copy("policy/a", 1)]);
  replica.view();
  replica.acceptAll([copy("policy/a", 2, "invalid"), copy("policy/b", 3)]);
  expect(compiled(replica)).toEqual(["policy/a@1", "policy/b@3"]);
  expect(replica.activeVersion("policy/a")).toBe(1);
  expect(replica.find("policy/a")?.version).toBe(2);
  replica.accept(copy("policy/a", 4));
  expect(compiled(replica)).toEqual(["policy/a@4", "policy/b@3"]);
});

// Guards against a node that uses a configuration known to be stale.
test("a replica is ready at the highest version known to exist", () => {
  const replica = newReplica([copy("policy/a", 1)]);
  expect(replica.isReady()).toBe(false);
  replica.observeVersion(2);
  replica.markLoaded();
  expect(replica.isReady()).toBe(false);
  replica.accept(copy("policy/b", 2));
  expect(replica.isReady()).toBe(true);
  replica.observeVersion(3);
  expect(replica.isReady()).toBe(true);
});

// Guards against a listener whose error stops the distribution of documents.
test("listeners see changes until they are removed", () => {
  const replica = newReplica();
  const seen: number[] = [];
  replica.onChange(() => {
    throw new Error("listener");
  });
  const remove = replica.onChange(({ version }) => void seen.push(version));
  replica.accept(copy("policy/a", 1));
  remove();
  replica.accept(copy("policy/a", 2));
  expect(seen).toEqual([1]);
});

// Guards against responses of unbounded size, and against documents that are on
// no page.
test("documents are selected by version, in pages", () => {
  const large = "x".repeat(FETCH_PAGE_LENGTH * 0.6);
  const replica = newReplica([
    copy("policy/c", 3, large),
    copy("policy/a", 1, large),
    copy("policy/b", 2, ""),
  ]);
  const select = (
    held: readonly { readonly name: string; readonly version: number }[],
    names: readonly string[] = [],
  ) => selectNewerDocuments(replica, { held, names }).map(({ name }) => name);
  expect(select([])).toEqual(["policy/a", "policy/b"]);
  expect(select([{ name: "policy/a", version: 1 }]))
    .toEqual(["policy/b", "policy/c"]);
  expect(select([{ name: "", version: 2 }])).toEqual(["policy/c"]);
  expect(select([{ name: "policy/c", version: 2 }], ["policy/c", "policy/x"]))
    .toEqual(["policy/c"]);
});
