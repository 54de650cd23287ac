import { MemoryAccount } from "./mod.ts";

/** Returns an account with one limit for each holder and each sum, in bytes. */
export function testAccount(bytes: number): MemoryAccount {
  return new MemoryAccount(() => ({
    holders: {
      client_bodies: bytes,
      peer_calls: bytes,
      worker_answers: bytes,
      waiting_answers: bytes,
      kept_answers: bytes,
      client_requests: bytes,
    },
    sums: { requests: bytes, answers: bytes, kept: bytes, heads: bytes },
    small: 0,
  }));
}
