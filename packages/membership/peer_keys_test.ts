import { expect, test } from "vitest";
import { PeerKeys } from "./peer_keys.ts";

const bytes = new TextEncoder().encode("message");

// Guards against a key rotation that excludes nodes which still sign with the old
// key.
test("a second key verifies", () => {
  const signature = new PeerKeys(["old"]).sign("datagram", bytes);
  expect(new PeerKeys(["new", "old"]).verify("datagram", bytes, signature))
    .toBe(true);
  expect(new PeerKeys(["new"]).verify("datagram", bytes, signature)).toBe(
    false,
  );
});

// Guards against the reuse of a signature for another kind of message.
test("a signature is bound to its purpose", () => {
  const keys = new PeerKeys(["key"]);
  const signature = keys.sign("datagram", bytes);
  expect(keys.verify("context", bytes, signature)).toBe(false);
  expect(keys.verify("datagram", bytes, signature.subarray(1))).toBe(false);
});
