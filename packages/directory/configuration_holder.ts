import type { Configuration } from "./configuration.ts";

/** Called with a configuration that has come into force. */
export type ConfigurationListener = (configuration: Configuration) => void;

/** Holds the configuration in force, which never goes back to an older one. */
export class ConfigurationHolder {
  readonly #listeners: ConfigurationListener[] = [];
  #current: Configuration | undefined;

  /** Configuration in force; undefined until the first is known. */
  get current(): Configuration | undefined {
    return this.#current;
  }

  /** Version in force; 0 until the first is known. */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /** Calls a function after each change. */
  onChange(listener: ConfigurationListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Puts a configuration into force unless it is older than the present one.
   *
   * @returns Whether it came into force.
   */
  put(configuration: Configuration): boolean {
    if (configuration.version <= this.version) return false;
    this.#current = configuration;
    this.#listeners.forEach((listener) => listener(configuration));
    return true;
  }
}
