// `roarr` reads this variable when it is loaded, so this module must be loaded before it.
process.env.ROARR_LOG = 'true';
