/**
 * Record that the node beside a worker publishes about itself and the worker.
 */
export interface WorkerRecord {
  /** Name of the host's node, which is also the name of the record. */
  readonly node: string;
  /** Address at which the node accepts links from other nodes, as host:port. */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Maximum number of calls that the worker runs at the same time. */
  readonly slots: number;
  /** Identity of the worker's incarnation. */
  readonly workerId: string;
}

/** Record with the revision of the store at which it was written. */
export interface StoredRecord {
  readonly record: WorkerRecord;
  readonly revision: number;
}

/** Returns whether all fields of two records are equal. */
export function isSameRecord(one: WorkerRecord, other: WorkerRecord): boolean {
  return one.node === other.node && one.address === other.address &&
    one.service === other.service && one.dataCentre === other.dataCentre &&
    one.slots === other.slots && one.workerId === other.workerId;
}
