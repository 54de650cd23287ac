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
  /** Receives the lines; the standard error stream if absent. */
  readonly output?: Writable;
}

const PLAIN_VALUE = /^[^\s"=]+$/;

function formatValue(value: unknown): string {
  const text = String(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}

function formatLine(json: string): string {
  const fields: Record<string, unknown> = JSON.parse(json);
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(" ") + "\n";
}

/** Writes one line of `key=value` pairs for each event, by pino. */
export class EventLog {
  readonly #logger: pino.Logger;

  /** @param options Least level and the stream for the lines. */
  constructor(options: EventLogOptions) {
    const output = options.output ?? process.stderr;
    this.#logger = pino({
      level: options.level,
      base: undefined,
      messageKey: "event",
      timestamp: () => `,"time":"${new Date().toISOString()}"`,
      formatters: { level: (label) => ({ level: label }) },
    }, { write: (json: string) => void output.write(formatLine(json)) });
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
    const present = Object.fromEntries(
      Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => [
          name,
          typeof value === "bigint" ? value.toString() : value,
        ]),
    );
    this.#logger[level](present, event);
  }
}
