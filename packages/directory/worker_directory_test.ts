import { expect, test } from "vitest";
import { ConfigurationHolder, WorkerDirectory } from "./mod.ts";

function record(node: string, service = "menus") {
  return {
    node,
    address: `${node}:7000`,
    service,
    dataCentre: "wa-a",
    slots: 4,
    workerId: `${node}-1`,
  };
}

test("a later revision replaces a record", () => {
  const directory = new WorkerDirectory();
  directory.put({ record: record("a"), revision: 5 });
  directory.put({ record: record("a", "members"), revision: 6 });
  expect(directory.ofService("menus")).toEqual([]);
  expect(directory.ofService("members")).toHaveLength(1);
});

// Guards against a peer that sends an old record and thereby overwrites the
// newer one from the store.
test("a record with an earlier revision is ignored", () => {
  const directory = new WorkerDirectory();
  directory.put({ record: record("a"), revision: 6 });
  expect(directory.put({ record: record("a", "members"), revision: 5 }))
    .toBe(false);
  expect(directory.get("a")?.service).toBe("menus");
});

// Guards against a peer that has not yet seen a removal and sends the record.
test("an old record does not restore a removed one", () => {
  const directory = new WorkerDirectory();
  directory.put({ record: record("a"), revision: 6 });
  directory.remove("a", 7);
  expect(directory.put({ record: record("a"), revision: 6 })).toBe(false);
  expect(directory.put({ record: record("a"), revision: 8 })).toBe(true);
});

test("a listing removes the records that it does not contain", () => {
  const directory = new WorkerDirectory();
  directory.put({ record: record("a"), revision: 1 });
  directory.put({ record: record("b"), revision: 2 });
  directory.replaceAll([{ record: record("b"), revision: 2 }], 4);
  expect(directory.records.map((entry) => entry.record.node)).toEqual(["b"]);
});

test("the current configuration is never replaced by an older one", () => {
  const holder = new ConfigurationHolder();
  const versions: number[] = [];
  holder.onChange(({ version }) => versions.push(version));
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  [4, 9, 7, 9].forEach((version) =>
    holder.put({ version, routes: [], services: [], limits }, "store")
  );
  expect(versions).toEqual([4, 9]);
});
