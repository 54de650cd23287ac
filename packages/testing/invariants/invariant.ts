import type {
  SessionEvent,
  SessionEventKind,
  SessionEventOf,
} from "./session_event.ts";

/** A promise that was broken in a session. */
export interface Violation {
  /** Name of the invariant. */
  readonly invariant: string;
  /** Time of the event that broke it, in milliseconds. */
  readonly at: number;
  /** What happened, a sentence without a full stop. */
  readonly message: string;
}

/** A promise of the system that is checked against a recorded session. */
export abstract class Invariant {
  /** Short name in lower case, for reports. */
  abstract readonly name: string;

  /** Finds all violations in a session whose events are in order. */
  abstract check(session: readonly SessionEvent[]): readonly Violation[];

  /** Makes a violation of this invariant. */
  protected violation(at: number, message: string): Violation {
    return { invariant: this.name, at, message };
  }
}

/** Selects the events of one kind. */
export function eventsOf<Kind extends SessionEventKind>(
  session: readonly SessionEvent[],
  kind: Kind,
): readonly SessionEventOf<Kind>[] {
  return session.filter((event) =>
    event.kind === kind
  ) as unknown as readonly SessionEventOf<Kind>[];
}

/** Groups items by a key, in the order of their first appearance. */
export function groupBy<Item, Key>(
  items: readonly Item[],
  key: (item: Item) => Key,
): ReadonlyMap<Key, readonly Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const group = groups.get(key(item));
    if (group === undefined) groups.set(key(item), [item]);
    else group.push(item);
  }
  return groups;
}
