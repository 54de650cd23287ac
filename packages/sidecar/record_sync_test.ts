import { Writable } from "node:stream";
import { afterEach, beforeEach, expect, test } from "vitest";
import { WorkerDirectory } from "@oleanderdeck/directory";
import { EventLog } from "@oleanderdeck/observability";
import { TestStore, TestStoreClient } from "./_test_store.ts";
import { RecordSync } from "./record_sync.ts";
import { StoreAvailability } from "./store_availability.ts";

/** Store whose removals and departures wait until they are let through. */
class HeldStore extends TestStoreClient {
  readonly held: string[] = [];
  readonly #released = new Map<string, () => void>();

  override async deleteRecord(node: string, revision: number): Promise<void> {
    await this.#hold("removal");
    await super.deleteRecord(node, revision);
  }

  override async writeDeparture(
    ...parameters: Parameters<TestStoreClient["writeDeparture"]>
  ): Promise<number | undefined> {
    await this.#hold("departure");
    return await super.writeDeparture(...parameters);
  }

  release(call: "removal" | "departure"): void {
    this.#released.get(call)!();
  }

  #hold(call: "removal" | "departure"): Promise<void> {
    this.held.push(call);
    return new Promise((resolve) => this.#released.set(call, resolve));
  }
}

const RECORD = {
  node: "n",
  address: "10.0.0.1:1",
  service: "menus",
  dataCentre: "wa-a",
  slots: 4,
  workerId: "w",
};
const DEPARTURE = { workerId: "w", startedAt: 1, leftAt: 2 };

let shared: TestStore;
let store: HeldStore;
let sync: RecordSync;
beforeEach(async () => {
  shared = new TestStore();
  store = new HeldStore(shared, "n");
  const log = new EventLog({
    level: "error",
    output: new Writable({ write: (_chunk, _encoding, done) => done() }),
  });
  sync = new RecordSync({
    store,
    directory: new WorkerDirectory(),
    availability: new StoreAvailability(log),
    log,
    node: "n",
    onOwnRecord: () => {},
    onOwnDeparture: () => {},
  });
  sync.start();
  sync.publish(RECORD);
  await expect.poll(() => shared.entries.get("n")?.record).toEqual(RECORD);
});
afterEach(() => sync.close());

// Guards against a departure that is acknowledged when an earlier withdrawal, which
// did not hold it, has been written.
test("a withdrawal during another one waits for its own write", async () => {
  const done: string[] = [];
  void sync.withdraw().then(() => done.push("first"));
  await expect.poll(() => store.held).toEqual(["removal"]);
  void sync.withdraw(DEPARTURE).then(() => done.push("second"));
  store.release("removal");
  await expect.poll(() => store.held).toEqual(["removal", "departure"]);
  expect(done).toEqual(["first"]);
  store.release("departure");
  await expect.poll(() => done).toEqual(["first", "second"]);
  expect(shared.entries.get("n")?.departure).toEqual(DEPARTURE);
});
