import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SystemClock } from "@oleanderdeck/settings";
import { expect, test, vi } from "vitest";
import { Membership } from "./membership.ts";
import { PeerKeys } from "./peer_keys.ts";
import { UdpTransport } from "./udp_transport.ts";

function udpNode(index: number, seeds: readonly string[]): Membership {
  return new Membership({
    nodeId: `udp-${index}`,
    callAddress: "127.0.0.1:1",
    controlAddress: "127.0.0.1:2",
    dataCentre: "wa-a",
    region: "wa",
    transport: new UdpTransport({ host: "127.0.0.1", port: 0 }),
    keys: new PeerKeys(["test"]),
    clock: new SystemClock(),
    random: xoroshiro128plus(index),
    seeds: () => Promise.resolve(seeds),
  });
}

// Guards against a membership that works only on the in-memory network.
test("members join over UDP and exchange messages", async () => {
  const first = udpNode(1, []);
  await first.start();
  const second = udpNode(2, [first.self().peerAddress]);
  await second.start();
  const received = vi.fn();
  first.channel.onMessage("news", (_news, sender) => received(sender.nodeId));
  await expect.poll(() => first.find("udp-2"), { timeout: 5000 }).toBeDefined();
  await expect.poll(() => second.find("udp-1"), { timeout: 5000 })
    .toBeDefined();
  second.channel.send("udp-1", {
    case: "news",
    value: { $typeName: "oleanderdeck.peer.v1.News", documents: [] },
  });
  await expect.poll(() => received.mock.calls).toEqual([["udp-2"]]);
  await expect.poll(() => second.roundTripMs("udp-1"), { timeout: 5000 })
    .toBeLessThan(250);
  await Promise.all([first.close(), second.close()]);
});

// Guards against a crash by a send to an invalid address, or after the close.
test("a failed send is counted", async () => {
  const transport = new UdpTransport({ host: "127.0.0.1", port: 0 });
  await transport.open(() => {});
  transport.send("host.invalid", new Uint8Array(1));
  transport.send("host.invalid:7000", new Uint8Array(1));
  await expect.poll(() => transport.counters().sendErrors).toBe(2);
  await transport.close();
  transport.send("127.0.0.1:7000", new Uint8Array(1));
  expect(transport.counters().sendErrors).toBe(3);
});
