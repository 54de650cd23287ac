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

// Guards against a peer's old knowledge that undoes what the store has told.
test("an earlier revision changes nothing", () => {
  const directory = new WorkerDirectory();
  directory.put({ record: record("a"), revision: 6 });
  expect(directory.put({ record: record("a", "members"), revision: 5 }))
    .toBe(false);
  expect(directory.get("a")?.service).toBe("menus");
});

test("a removed record does not come back by old knowledge", () => {
  const directory = new WorkerDirectory();
  directory.put({ record: record("a"), revision: 6 });
  directory.remove("a", 7);
  expect(directory.put({ record: record("a"), revision: 6 })).toBe(false);
  expect(directory.put({ record: record("a"), revision: 8 })).toBe(true);
});

test("a listing removes what it does not contain", () => {
  const directory = new WorkerDirectory();
  directory.put({ record: record("a"), revision: 1 });
  directory.put({ record: record("b"), revision: 2 });
  directory.replaceAll([{ record: record("b"), revision: 2 }], 4);
  expect(directory.records.map((entry) => entry.record.node)).toEqual(["b"]);
});

test("the configuration in force never becomes older", () => {
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
    holder.put({ version, routes: [], services: [], limits })
  );
  expect(versions).toEqual([4, 9]);
});
