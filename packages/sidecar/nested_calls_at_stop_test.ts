import { afterEach, beforeEach, expect, test } from "vitest";
import { START_TIMEOUT_MS, TestFleet, type TestHost } from "./_test_fleet.ts";

/** Requests whose workers make calls at the same time, and calls of each. */
const PARENTS = 4;
const CALLS = 6;

const routeTo = (service: string) => ({
  name: service,
  shares: [{ service, weight: 1 }],
  isIdempotent: false,
  timeoutMs: 2_500,
});

let fleet: TestFleet;
let caller: TestHost;
let parents: TestHost;
let members: readonly TestHost[];
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(1, [routeTo("bookings"), routeTo("members")]);
  caller = await fleet.add("caller", "menus");
  parents = await fleet.add("parents", "bookings");
  members = [
    await fleet.add("members-1", "members"),
    await fleet.add("members-2", "members"),
  ];
  for (const path of ["/bookings/warm", "/members/warm"]) {
    await expect.poll(
      async () => (await fleet.call(caller, path)).status,
      { timeout: START_TIMEOUT_MS },
    ).toBe(200);
  }
  members.forEach(({ worker }) => worker.holdMs = 100);
});
afterEach(() => fleet.close());

/** Statuses of the calls that the worker of the parents has made. */
const statuses: number[] = [];

/** Runs requests whose worker makes calls through the node of its host. */
function runParents(): Promise<readonly number[]> {
  statuses.length = 0;
  parents.worker.run = async (id) => {
    for (let index = 0; index < CALLS; index++) {
      const { status } = await fleet.call(parents, "/members/1", {
        id: `${id}.${index}`,
        body: "x",
      });
      statuses.push(status);
    }
    return true;
  };
  return Promise.all(Array.from({ length: PARENTS }, async (_, index) => {
    const options = { id: `p${index}`, body: "x", timeLeftMs: 2_500 };
    return (await fleet.call(caller, "/bookings/1", options)).status;
  }));
}

const allServed = (count: number) => new Array<number>(count).fill(200);

// Guards against calls of a worker that fail since the node of its host, of the
// caller or of the called worker stops.
test.each(["parents", "caller", "members-1"])(
  "the calls of a worker are served while the node of %s stops",
  async (name) => {
    const running = runParents();
    await expect.poll(() => statuses.length).toBeGreaterThan(0);
    const stopped = fleet.hosts.get(name)!.node.stop();
    expect(await running).toEqual(allServed(PARENTS));
    expect(statuses).toEqual(allServed(PARENTS * CALLS));
    await stopped;
  },
);
