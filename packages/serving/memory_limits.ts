/**
 * Shares of the process's memory: a largest body of 64 MB fits in on a host of 250
 * MB, and the sums leave room for the process itself and for freed memory that was
 * not collected yet. Requests do not use the part of answers, since a refused
 * request can be sent again, and an answer that is given up is lost.
 */
const SUM_SHARES: Readonly<Record<MemorySum, number>> = {
  requests: 0.35,
  answers: 0.2,
  kept: 0.02,
  heads: 0.1,
};
const SMALL_SHARE = 0.03;
const HOLDER_SHARES: Readonly<Record<MemoryHolder, number>> = {
  client_bodies: 0.3,
  peer_calls: 0.3,
  worker_answers: 0.15,
  waiting_answers: 0.15,
  kept_answers: 0.02,
  client_requests: 0.1,
};

/**
 * What the memory is held for: bodies of clients' requests, bodies of calls of
 * other nodes, answers of workers that are not complete, answers that a slow client
 * or link has not taken yet, answers that were sent and may be lost, and clients'
 * requests without an answer, apart from their bodies.
 */
export type MemoryHolder =
  | "client_bodies"
  | "peer_calls"
  | "worker_answers"
  | "waiting_answers"
  | "kept_answers"
  | "client_requests";

/** Holders with a common limit. */
export type MemorySum = "requests" | "answers" | "kept" | "heads";

/** Sum that each holder counts in. */
export const SUM_OF: Readonly<Record<MemoryHolder, MemorySum>> = {
  client_bodies: "requests",
  peer_calls: "requests",
  worker_answers: "answers",
  waiting_answers: "answers",
  kept_answers: "kept",
  client_requests: "heads",
};

/** Limits of a `MemoryAccount`, in bytes. */
export interface MemoryLimits {
  readonly holders: Readonly<Record<MemoryHolder, number>>;
  readonly sums: Readonly<Record<MemorySum, number>>;
  /** Additional bytes that only small reservations may use. */
  readonly small: number;
}

/** Returns the limits for a process that may use some bytes of memory. */
export function memoryLimits(memoryBytes: number): MemoryLimits {
  const scaled = <Name extends string>(shares: Record<Name, number>) =>
    Object.fromEntries(
      Object.entries<number>(shares).map((
        [name, share],
      ) => [name, share * memoryBytes]),
    ) as Record<Name, number>;
  return {
    holders: scaled(HOLDER_SHARES),
    sums: scaled(SUM_SHARES),
    small: memoryBytes * SMALL_SHARE,
  };
}
