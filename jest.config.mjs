/** @type {import("jest").Config} */
export default {
    testEnvironment: "node",
    setupFiles: ["<rootDir>/scripts/enableLogs.mjs"],
    extensionsToTreatAsEsm: [".ts"],
    // Tests on virtual time take longer on a busy machine; the limit is there for tests that never end.
    testTimeout: 60_000,
    testMatch: ["**/tests/**/*.test.ts", "<rootDir>/scenarios/src/**/*.test.ts"],
    modulePathIgnorePatterns: ["<rootDir>/dist", "<rootDir>/target"],
    moduleNameMapper: {
        "^@anvilmux/stand-ins$": "<rootDir>/stand-ins/src/index.ts",
        "^@anvilmux/platform$": "<rootDir>/platform/src/index.ts",
        "^@anvilmux/(.*)$": "<rootDir>/packages/$1/src/index.ts",
    },
    transform: {
        "^.+\\.ts$": ["@swc/jest", { jsc: { target: "es2022", parser: { syntax: "typescript" } } }],
    },
};
