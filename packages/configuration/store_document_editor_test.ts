import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { beforeEach, expect, test } from "vitest";
import { MemoryStore } from "@oleanderdeck/store";
import {
  DocumentConflict,
  MAX_STORED_CHANGES,
  StoreDocumentEditor,
} from "./mod.ts";
import { randomFraction } from "./random_choice.ts";
import { VirtualClock } from "@oleanderdeck/settings";

const NAME = "policy/menus";

let clock: VirtualClock;
let store: MemoryStore;
let editor: StoreDocumentEditor;

function newEditor(seed: number): StoreDocumentEditor {
  return new StoreDocumentEditor({
    store,
    clock,
    random: xoroshiro128plus(seed),
  });
}

beforeEach(() => {
  clock = new VirtualClock();
  store = new MemoryStore({ clock });
  editor = newEditor(1);
});

// Guards against a second write, or an error, after a write whose response was
// lost.
test("a write whose response is lost is read back as success", async () => {
  store.setFaults({ loseWriteAnswers: 1 });
  const change = { expectedVersion: 0, changeId: "a" };
  const applied = await clock.advanceUntilSettled(
    editor.apply(NAME, "{}", change),
  );
  expect(applied.unsafeCoerce().version).toBe(1);
  expect(store.counters()).toMatchObject({ get: 2, put: 1 });
});

// Guards against a change that is reported as not stored although it is.
test("a lost response in an outage is outcome_unknown and found later", async () => {
  store.setFaults({ loseWriteAnswers: 1 });
  const change = { expectedVersion: 0, changeId: "a" };
  const applying = editor.apply(NAME, "{}", change);
  await clock.advance(0);
  store.setFaults({ outage: "refuse" });
  const unknown = (await clock.advanceUntilSettled(applying)).swap()
    .unsafeCoerce();
  expect(unknown.kind).toBe("outcome_unknown");
  expect(unknown.message).toContain("change a");
  const rejected = await editor.apply(NAME, "[]", change);
  expect(rejected.swap().unsafeCoerce())
    .toMatchObject({ kind: "store_unavailable", run: "no" });
  store.setFaults({ outage: "none" });
  expect((await editor.findChange(NAME, "a")).unsafeCoerce()).toBe(1);
  expect((await editor.findChange(NAME, "b")).unsafeCoerce()).toBeUndefined();
});

// Guards against a lost update when two operators edit the same version.
test("of two concurrent changes, one is a conflict with both documents", async () => {
  const [first, second] = await clock.advanceUntilSettled(Promise.all([
    editor.apply(NAME, "1", { expectedVersion: 0, changeId: "a" }),
    newEditor(2).apply(NAME, "2", { expectedVersion: 0, changeId: "b" }),
  ]));
  expect(first.isRight()).toBe(true);
  const conflict = second.swap().unsafeCoerce() as DocumentConflict;
  expect(conflict.kind).toBe("conflict");
  expect(conflict.stored).toMatchObject({ content: "1", version: 1 });
  expect(conflict.proposed).toMatchObject({ content: "2", version: 0 });
});

// Guards against a change that takes effect twice when a client sends it again.
test("a repeated change returns its version and writes nothing", async () => {
  const change = { expectedVersion: 0, changeId: "a" };
  await editor.apply(NAME, "1", change);
  await editor.apply(NAME, "2", { expectedVersion: 1, changeId: "b" });
  const repeated = await editor.apply(NAME, "1", change);
  expect(repeated.unsafeCoerce()).toMatchObject({ version: 1, content: "1" });
  expect(store.revision()).toBe(2);
  const reused = await editor.apply(NAME, "3", change);
  expect(reused.swap().unsafeCoerce().kind).toBe("malformed_request");
});

// Guards against a history of unlimited length, and against a wrong result for
// changes that are no longer in it.
test("the ids of the latest changes are stored", async () => {
  for (let version = 0; version <= MAX_STORED_CHANGES; version++) {
    const change = { expectedVersion: version, changeId: `c${version}` };
    await editor.apply(NAME, `${version}`, change);
  }
  const find = async (id: string) =>
    (await editor.findChange(NAME, id)).unsafeCoerce();
  expect(await find("c0")).toBeUndefined();
  expect(await find("c1")).toBe(2);
  expect(await find(`c${MAX_STORED_CHANGES}`)).toBe(MAX_STORED_CHANGES + 1);
});

// Guards against a change that was stored but is reported as a conflict because
// its id is no longer in the history when the document is read back.
test("a lost response followed by many other changes is outcome_unknown", async () => {
  store.setFaults({ loseWriteAnswers: 1 });
  const change = { expectedVersion: 0, changeId: "a" };
  const applying = editor.apply(NAME, "{}", change);
  await clock.advance(0);
  for (let version = 1; version <= MAX_STORED_CHANGES; version++) {
    const other = { expectedVersion: version, changeId: `c${version}` };
    await newEditor(2).apply(NAME, `${version}`, other);
  }
  expect((await clock.advanceUntilSettled(applying)).swap().unsafeCoerce().kind)
    .toBe("outcome_unknown");
});

// Guards against a deletion that loses its change id or lowers the version.
test("a deleted document keeps its history and can be created again", async () => {
  await editor.apply(NAME, "1", { expectedVersion: 0, changeId: "a" });
  const remove = { expectedVersion: 1, changeId: "b" };
  const removed = await editor.delete(NAME, remove);
  expect(removed.unsafeCoerce()).toMatchObject({ version: 2, deleted: true });
  expect((await editor.get(NAME)).swap().unsafeCoerce().kind)
    .toBe("not_found");
  expect((await editor.list("policy/")).unsafeCoerce()).toEqual([]);
  expect((await editor.delete(NAME, remove)).unsafeCoerce().version).toBe(2);
  const create = { expectedVersion: 0, changeId: "c" };
  expect((await editor.apply(NAME, "2", create)).unsafeCoerce().version)
    .toBe(3);
});

// Guards against documents and names that the store cannot hold.
test("documents that are too large or misnamed are rejected", async () => {
  const change = { expectedVersion: 0, changeId: "a" };
  const kindOf = async (name: string, content: string) =>
    (await editor.apply(name, content, change)).swap().unsafeCoerce().kind;
  expect(await kindOf(NAME, "x".repeat(1_000_000))).toBe("too_large");
  expect(await kindOf("seeds", "{}")).toBe("malformed_request");
  expect(await kindOf(`policy/${"x".repeat(200)}`, "{}"))
    .toBe("malformed_request");
  expect(store.revision()).toBe(0);
});

// Guards against wrong outcomes when faults and races coincide: a change that
// is reported as successful must be stored once, a rejected one never.
test("outcomes are accurate under races, delays and lost responses", async () => {
  for (let seed = 1; seed <= 100; seed++) {
    clock = new VirtualClock();
    store = new MemoryStore({ clock });
    const random = xoroshiro128plus(seed);
    const chance = (share: number) => randomFraction(random) < share;
    const changes = Array.from({ length: 12 }, async (_, index) => {
      await clock.sleep(randomFraction(random) * 6_000);
      if (chance(0.5)) store.setFaults({ loseWriteAnswers: 1 });
      const outage = chance(0.2) ? "refuse" : "none";
      store.setFaults({ delayMs: randomFraction(random) * 800, outage });
      const changeId = `change-${index}`;
      const outcome = await newEditor(seed * 100 + index).apply(
        NAME,
        changeId,
        {
          expectedVersion: store.revision(),
          changeId,
        },
      );
      return { changeId, outcome };
    });
    const outcomes = await clock.advanceUntilSettled(Promise.all(changes));
    store.setFaults({ outage: "none", delayMs: 0, loseWriteAnswers: 0 });
    for (const { changeId, outcome } of outcomes) {
      const found = await editorFind(changeId);
      outcome.caseOf({
        Right: ({ version }) => expect(found, `seed ${seed}`).toBe(version),
        Left: ({ kind }) => {
          if (kind === "outcome_unknown") return;
          expect(found, `seed ${seed}: ${kind}`).toBeUndefined();
        },
      });
    }
  }
});

async function editorFind(changeId: string): Promise<number | undefined> {
  return (await newEditor(0).findChange(NAME, changeId)).unsafeCoerce();
}
