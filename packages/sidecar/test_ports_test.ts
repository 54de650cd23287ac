import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { makeProxiedFleet } from "./_link_proxy.ts";

/** Range from which the kernel draws ports. */
const RANGE = "/proc/sys/net/ipv4/ip_local_port_range";

// Guards against a port that the kernel gives to a worker or relay of a test
// before the node for which it was drawn listens on it (EADDRINUSE).
test("no listener of a fleet has a port that the kernel draws", async () => {
  const proxied = makeProxiedFleet();
  const hosts = await Promise.all(
    ["one", "two"].map((name) => proxied.add(name, "menus", {})),
  );
  const ports = [
    ...hosts.flatMap(({ callPort, linkPort, worker }) => [
      callPort,
      linkPort,
      Number(worker.address.split(":")[1]),
    ]),
    ...proxied.proxies.map(({ port }) => port),
  ];
  await proxied.close();
  const firstDrawn = Number(readFileSync(RANGE, "utf8").split(/\s/)[0]);
  expect(new Set(ports).size).toBe(8);
  expect(Math.max(...ports)).toBeLessThan(firstDrawn);
});
