/** Host and port that a process listens on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of the node beside one worker. */
export interface SidecarSettings {
  /** Name of the node; unique among all hosts. */
  readonly node: string;
  readonly dataCentre: string;
  /** Service of the worker on this host. */
  readonly service: string;
  /** Address of the worker as host:port. */
  readonly workerAddress: string;
  /** Where callers on this host send their requests. */
  readonly callAddress: ListenAddress;
  /** Where the nodes of other hosts open links. */
  readonly linkAddress: ListenAddress;
  /** Memory that the process may use, in megabytes. */
  readonly memoryMb: number;
  /** Usual time between two heartbeats of the worker, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time for a graceful stop, in milliseconds. */
  readonly graceMs: number;
  /** Bound of the repeats that all nodes together send to a service. */
  readonly repeatLimit: FleetRepeatLimitSettings;
}

/** Bound of the repeats that all nodes together send to a service. */
export interface FleetRepeatLimitSettings {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats in a window that need no requests. */
  readonly baseRepeats: number;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
}
