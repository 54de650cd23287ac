import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { readJsonc } from "./jsonc.ts";
import { nodeSettingsSchema, parseAddress } from "./node_settings.ts";
import { renderSettingsReference } from "./settings_reference.ts";

const required = {
  callAddress: "10.0.0.7:7000",
  controlAddress: "10.0.0.7:7001",
  peerAddress: "10.0.0.7:7002",
  dataCentre: "wa-a",
  region: "wa",
  peerKeys: ["0123456789abcdef"],
  storeUrl: "http://127.0.0.1:9000",
};

function read(fields: object) {
  return readJsonc(
    JSON.stringify({ ...required, ...fields }),
    nodeSettingsSchema,
  );
}

// Guards against a default that is missing from the result.
test("defaults are filled in", () => {
  const settings = read({}).unsafeCoerce();
  expect(settings.nodeId).toBe("10-0-0-7-7000");
  expect(settings.seeds).toEqual([]);
  expect(settings.metrics).toEqual({ port: 8125 });
  expect(settings.timeouts.storeMs).toBe(2000);
});

// Guards against a node that starts with addresses which others cannot reach,
// or with tokens that do not identify an operator.
test("wrong addresses, keys and tokens are reported together", () => {
  const token = { name: "ann", role: "viewer", sha256: "a".repeat(64) };
  const issues = read({
    callAddress: "0.0.0.0:7000",
    controlAddress: "localhost:1",
    peerKeys: ["short"],
    nodeId: "a.b",
    operatorTokens: [token, { ...token, role: "root" }],
  }).swap().unsafeCoerce();
  expect(issues.map((issue) => issue.path)).toEqual([
    "callAddress",
    "controlAddress",
    "peerKeys[0]",
    "nodeId",
    "operatorTokens[1].role",
  ]);
  const repeated = read({ operatorTokens: [token, token] });
  expect(repeated.swap().unsafeCoerce().map((issue) => issue.path)).toEqual([
    "operatorTokens[1].name",
    "operatorTokens[1].sha256",
  ]);
});

// Guards against host names and invalid ports in addresses.
test("parseAddress accepts IP addresses only", () => {
  expect(parseAddress("[::1]:80")).toEqual({ host: "::1", port: 80 });
  ["a:1", "1.2.3:4", "1.2.3.4:0", "1.2.3.4:65536", "::1:80"].forEach((text) =>
    expect(parseAddress(text)).toBeUndefined()
  );
});

// Guards against a settings page that is older than the schema.
test("docs/settings.md is current", () => {
  const path = new URL("../../docs/settings.md", import.meta.url);
  expect(readFileSync(path, "utf8")).toBe(renderSettingsReference());
});
