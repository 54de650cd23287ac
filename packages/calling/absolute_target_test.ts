import { afterEach, expect, test } from "vitest";
import { startProxy } from "./_test_proxy.ts";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((close) => close()));

// Guards against a proper request that is refused with 404 because its target names
// the host as well.
test.each([
  ["http://test.example/menus?a=/b", "/menus?a=/b"],
  ["HTTP://TEST.example:80/menus", "/menus"],
  ["http://test.example", "/"],
  ["http://test.example?a=b", "/?a=b"],
  ["/http://other.example/", "/http://other.example/"],
])("a request for %s reaches its worker as %s", async (target, expected) => {
  const { caller, channel, close } = await startProxy();
  cleanups.push(close);
  const targets: string[] = [];
  const { run } = channel;
  channel.run = (call, options) => {
    targets.push(call.target);
    return run.call(channel, call, options);
  };
  // The host of the target counts, not that of the field.
  const host = target.startsWith("/") ? "test.example" : "proxy.example";
  caller.socket.write(
    `GET ${target} HTTP/1.1\r\nhost: ${host}\r\nx-request: r1\r\n\r\n`,
  );
  await expect.poll(() => caller.answers.map(({ status }) => status))
    .toEqual([200]);
  expect(targets).toEqual([expected]);
});
