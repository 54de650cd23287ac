import type { ClientLimits } from "@oleanderdeck/calling";

/** Host and port that a process listens on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of the node beside one worker. */
export interface SidecarSettings {
  /** Name of the node, unique among all hosts. */
  readonly node: string;
  readonly dataCentre: string;
  /** Service of the worker on this host. */
  readonly service: string;
  /** Address of the worker as `host:port`. */
  readonly workerAddress: string;
  /** Address that callers on this host send their requests to. */
  readonly callAddress: ListenAddress;
  /** Address that the nodes of other hosts open links to. */
  readonly linkAddress: ListenAddress;
  /** Memory that the process may use, in megabytes. */
  readonly memoryMb: number;
  /** Usual interval of the heartbeats of the worker, in milliseconds. */
  readonly heartbeatMs: number;
  /** Longest duration of a graceful stop, in milliseconds. */
  readonly graceMs: number;
  /** Limit of the repeats that all nodes together send to a service. */
  readonly repeatLimit: FleetRepeatLimitSettings;
  /**
   * Bound on the use of keys after they were taken away; undefined if the
   * deployment sets none.
   */
  readonly revocation?: RevocationSettings | undefined;
  /** Limits of what clients may occupy; the usual ones if omitted. */
  readonly clientLimits?: ClientLimits;
  /** Length of the window that quotas are checked in, in milliseconds. */
  readonly quotaWindowMs?: number | undefined;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart?: boolean;
}

/** Bound on the use of keys after they were taken away. */
export interface RevocationSettings {
  /**
   * Time after the store has acknowledged a configuration without a key from
   * which on no request with that key runs, in milliseconds.
   */
  readonly limitMs: number;
}

/**
 * Limit of the repeats that all nodes together send to a service. A repeat is a
 * request that is sent again to a second worker, and each call which that
 * execution makes.
 */
export interface FleetRepeatLimitSettings {
  /** Repeats allowed for each request, a fraction such as 0.2. */
  readonly ratio: number;
  /** Repeats allowed in each window regardless of the number of requests. */
  readonly baseRepeats: number;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
}
