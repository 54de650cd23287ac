import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["packages/**/*_test.ts", "platform/**/*_test.ts"],
    // Tests in virtual time are limited by the CPU, which other processes may share.
    testTimeout: 180_000,
  },
});
