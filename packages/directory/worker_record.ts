/** What the node beside a worker publishes about both. */
export interface WorkerRecord {
  /** Name of the host's node, which is also the name of the record. */
  readonly node: string;
  /** Address at which the node takes links, as host:port. */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Calls that the worker runs at the same time. */
  readonly slots: number;
  /** Identity of the worker's incarnation. */
  readonly workerId: string;
}

/** A record with the revision of the store at which it was written. */
export interface StoredRecord {
  readonly record: WorkerRecord;
  readonly revision: number;
}

/** Tells whether two records say the same. */
export function isSameRecord(one: WorkerRecord, other: WorkerRecord): boolean {
  return one.node === other.node && one.address === other.address &&
    one.service === other.service && one.dataCentre === other.dataCentre &&
    one.slots === other.slots && one.workerId === other.workerId;
}
