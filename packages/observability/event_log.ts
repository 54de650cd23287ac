import { Writable } from "node:stream";
import { pino } from "pino";

/** Value of one field of an event. */
export type EventValue = string | number | bigint | boolean | undefined;

/** Fields of an event; names are in snake_case. */
export type EventFields = Readonly<Record<string, EventValue>>;

/** Levels of events from the least to the most severe. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** Options of {@linkcode EventLog}. */
export interface EventLogOptions {
  /** Events below this level are not written. */
  readonly level: EventLevel;
  /** Stream for the lines; the standard error stream if absent. */
  readonly output?: Writable;
  /** Wall clock in milliseconds since 1970; `Date.now` if absent. */
  readonly now?: () => number;
}

/**
 * Maximum length of the text of one value, in UTF-16 code units. Longer texts
 * are truncated, so that texts from callers cannot fill the log.
 */
export const MAX_VALUE_LENGTH = 1_000;

const PLAIN_VALUE = /^[^\s"=\p{C}]+$/u;

function formatValue(value: Exclude<EventValue, undefined>): string {
  if (typeof value !== "string") return String(value);
  const text = value.length > MAX_VALUE_LENGTH
    ? `${value.slice(0, MAX_VALUE_LENGTH)}...`
    : value;
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}

/** Writes one line of `key=value` pairs for each event, through pino. */
export class EventLog {
  readonly #logger: pino.Logger;
  readonly #now: () => number;

  /** @param options Lowest level that is written, and stream for the lines. */
  constructor(options: EventLogOptions) {
    const output = options.output ?? process.stderr;
    this.#now = options.now ?? Date.now;
    // `write` formats the line and passes it to pino as the only field of a
    // record. Formatting the fields of a pino record in the stream instead takes
    // about 1.5 times as long, because they are encoded as JSON and decoded.
    this.#logger = pino({
      level: options.level,
      base: undefined,
      messageKey: "line",
      timestamp: false,
    }, {
      write: (json: string) =>
        void output.write((JSON.parse(json) as { line: string }).line + "\n"),
    });
  }

  /**
   * Writes one event.
   *
   * @param level Severity.
   * @param event Name of the event in snake_case.
   * @param fields Details; absent values are left out.
   */
  write(level: EventLevel, event: string, fields: EventFields = {}): void {
    if (!this.#logger.isLevelEnabled(level)) return;
    let line = `level=${level} time=${new Date(this.#now()).toISOString()}`;
    for (const name in fields) {
      const value = fields[name];
      if (value !== undefined) line += ` ${name}=${formatValue(value)}`;
    }
    this.#logger[level](`${line} event=${formatValue(event)}`);
  }
}
