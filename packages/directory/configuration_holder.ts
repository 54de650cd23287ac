import { type Configuration, needsCredentials } from "./configuration.ts";

/**
 * Where a configuration was received from: the latest data of the platform's
 * store, its data that may be some seconds old, or another node.
 */
export type ConfigurationSource = "store" | "outdated_store" | "peer";

/** Called with each configuration that becomes the current one. */
export type ConfigurationListener = (
  configuration: Configuration,
  source: ConfigurationSource,
) => void;

/**
 * Holds the current configuration, the newest version that this node has
 * received. It is never replaced by an older version.
 */
export class ConfigurationHolder {
  readonly #listeners: ConfigurationListener[] = [];
  #current: Configuration | undefined;

  /** Current configuration; undefined until the first one is received. */
  get current(): Configuration | undefined {
    return this.#current;
  }

  /**
   * Version of the current configuration; 0 until the first one is received.
   */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /**
   * Registers a listener that is called after each change of the configuration.
   *
   * @param listener Receives the new configuration.
   */
  onChange(listener: ConfigurationListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Replaces the current configuration if the given one has a higher version, or
   * the same one with the organisations that the current one lacks. A node of an
   * earlier release sends configurations without organisations, which never
   * replace one with some.
   *
   * @param configuration Configuration that was received.
   * @param source Where it was received from.
   * @returns Whether the current configuration was replaced.
   */
  put(configuration: Configuration, source: ConfigurationSource): boolean {
    if (!this.#isNewer(configuration)) return false;
    this.#current = configuration;
    this.#listeners.forEach((listener) => listener(configuration, source));
    return true;
  }

  #isNewer({ version, organisations }: Configuration): boolean {
    if (version < this.version) return false;
    // Without the organisations, requests would need no credential.
    if (organisations === undefined && needsCredentials(this.#current)) {
      return false;
    }
    return version > this.version ||
      organisations !== undefined && this.#current?.organisations === undefined;
  }
}
