import { createHash } from "node:crypto";
import { expect, test } from "vitest";
import { BoundedCache } from "./bounded_cache.ts";
import { compilePolicy } from "./compiled_policy.ts";

const secretHash = createHash("sha256").update("s3cret").digest("hex");

function document(value: Record<string, unknown>, version = 1) {
  const name = value.service === undefined
    ? `agreement/${value.organisation}`
    : `policy/${value.service}`;
  return { name, version, content: JSON.stringify(value), deleted: false };
}

const lunchtable = document({
  organisation: "lunchtable",
  credentials: [{ id: "k1", sha256: secretHash }],
  requests: [
    { service: "bookings", priority: "high" },
    {
      service: "bookings",
      method: "POST",
      path: "/bookings",
      priority: "critical",
      permit: "required",
      failureCost: 10,
    },
    { service: "bookings", path: "/bookings/search", idempotent: true },
  ],
  defaults: { priority: "low" },
});

function find(method: string, path: string, organisation = "lunchtable") {
  return compilePolicy([lunchtable]).rule({
    organisation,
    service: "bookings",
    method,
    path,
  });
}

// Guards against a rule with a shorter path that takes precedence.
test("the rule with the longest path applies", () => {
  expect(find("POST", "/bookings/7?x=/bookings/search")).toEqual({
    priority: 0,
    idempotent: false,
    permit: "required",
    failureCost: 10,
  });
  expect(find("POST", "/bookings/search")).toMatchObject({
    priority: 3,
    idempotent: true,
    permit: "optional",
  });
  expect(find("POST", "/bookingsx").priority).toBe(1);
  expect(find("GET", "/bookings").priority).toBe(1);
});

// Guards against a path spelled differently so that its rule does not apply,
// for example to repeat a request that must not be repeated.
test("equivalent paths have the same rule", () => {
  [
    "//bookings",
    "/%62ookings/",
    "/x/../bookings",
    "/./bookings/1",
    "/x/%2e%2e/bookings",
    `/bookings/${"a/".repeat(300)}`,
  ].forEach((path) => expect(find("POST", path).priority).toBe(0));
});

// Guards against repeating non-idempotent requests that match no rule.
test("without a rule the method determines idempotency", () => {
  expect(["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]
    .filter((method) => find(method, "/", "unknown").idempotent))
    .toEqual(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);
  expect(find("GET", "/", "unknown").priority).toBe(2);
});

// Guards against callers that are assigned to another organisation.
test("authenticate checks the secret of the organisation", () => {
  const anonymous = document({ organisation: "anonymous" });
  const view = compilePolicy([lunchtable, anonymous]);
  const kind = (credential?: string) =>
    view.authenticate(credential).caseOf({
      Left: (error) => error.kind as string,
      Right: (policy) => policy.organisation,
    });
  expect(kind("lunchtable:s3cret")).toBe("lunchtable");
  expect(kind("lunchtable:s3cret")).toBe("lunchtable");
  expect(kind()).toBe("anonymous");
  expect(kind("lunchtable:wrong")).toBe("credential_refused");
  expect(kind("anonymous:")).toBe("credential_refused");
  expect(kind("lunchtable")).toBe("credential_refused");
  expect(kind("other:s3cret")).toBe("no_agreement");
  expect(compilePolicy([]).authenticate(undefined).swap().unsafeCoerce().kind)
    .toBe("no_agreement");
});

// Guards against a node that drops an agreement because a newer release wrote a
// field that the node does not support, and against use of deleted documents.
test("an invalid version leaves the last valid one in use", () => {
  const first = compilePolicy([lunchtable]);
  const broken = { ...lunchtable, version: 2, content: '{"weight": -1}' };
  const second = compilePolicy([broken], first);
  expect(second.organisation("lunchtable")?.weight).toBe(1);
  expect(second.rejected()).toMatchObject([{ version: 2 }]);
  const newer = document(
    { organisation: "lunchtable", weight: 3, burst: 1 },
    3,
  );
  const third = compilePolicy([newer], second);
  expect(third.organisation("lunchtable")?.weight).toBe(3);
  expect(third.rejected()).toEqual([]);
  const deleted = { ...newer, version: 4, content: "", deleted: true };
  expect(compilePolicy([deleted], third).organisations()).toEqual([]);
});

// Guards against memory use that grows with the number of paths.
test("BoundedCache keeps used entries and stays within its capacity", () => {
  const cache = new BoundedCache<number>(100);
  cache.set("used", -1);
  for (let key = 0; key < 10_000; key += 1) {
    cache.set(String(key), key);
    expect(cache.get("used")).toBe(-1);
    expect(cache.size).toBeLessThanOrEqual(100);
  }
  expect(cache.get("1")).toBeUndefined();
});
