// The library decides when it is loaded whether it logs at all, so this module has to be loaded first.
process.env.ROARR_LOG = 'true';
