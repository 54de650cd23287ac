import { expect, test } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { StoreDocumentEditor } from "./mod.ts";
import { FakeFleet } from "./_fake_fleet.ts";

/** Time within which a change is in force everywhere, in milliseconds. */
const TARGET_MS = 8_000;

/** Advances the virtual time in steps until all nodes have the version. */
async function timeToAll(
  fleet: FakeFleet,
  name: string,
  version: number,
): Promise<number> {
  const start = fleet.clock.now();
  while (fleet.countInForce(name, version) < fleet.nodes.size) {
    if (fleet.clock.now() - start > TARGET_MS) return Infinity;
    await fleet.clock.advance(100);
  }
  return fleet.clock.now() - start;
}

/** Editor on a node outside the fleet, so that only readers learn of changes. */
function outsideEditor(fleet: FakeFleet): StoreDocumentEditor {
  return new StoreDocumentEditor({
    store: fleet.store,
    clock: fleet.clock,
    random: xoroshiro128plus(fleet.options.seed),
  });
}

// Guards against a change that misses the 8 s target when messages are lost.
test.each([1, 2, 3])(
  "a change reaches 300 replicas within 8 s at a loss of 5 in 100, seed %i",
  async (seed) => {
    const fleet = new FakeFleet({ seed, loss: 0.05 });
    fleet.addMany(300);
    await fleet.clock.advance(10_000);
    const change = { expectedVersion: 0, changeId: "change-1" };
    const { version } = (await fleet.clock.until(
      outsideEditor(fleet).apply("policy/menus", "{}", change),
    )).unsafeCoerce();
    expect(await timeToAll(fleet, "policy/menus", version))
      .toBeLessThan(TARGET_MS);
    await fleet.close();
  },
);
