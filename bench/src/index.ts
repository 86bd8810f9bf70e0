/** The bench runner has no library interface. */
export {};
